/** Straight lines through measurements. */

export interface Line {
    readonly slope: number;
    readonly intercept: number;
    /** Share of the variation that the line explains, in [0, 1]; 1 where there is none. */
    readonly fit: number;
}

/** The least-squares line; needs two or more different x. */
export function fitLine(points: readonly { readonly x: number; readonly y: number; }[]): Line {
    const count = points.length;
    const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
    const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
    const spreadX = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
    const spreadY = points.reduce((sum, point) => sum + (point.y - meanY) ** 2, 0);
    const common = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
    const slope = spreadX === 0 ? 0 : common / spreadX;
    const fit = spreadX === 0 || spreadY === 0 ? 1 : common ** 2 / (spreadX * spreadY);
    return { slope, intercept: meanY - slope * meanX, fit };
}
