/** Least-squares fits of straight lines to measurements. */

export interface Line {
    readonly slope: number;
    readonly intercept: number;
    /** Coefficient of determination (R²), in [0, 1]; 1 if all x or all y are equal. */
    readonly fit: number;
}

/** Fits a line by least squares. With fewer than two different x values the slope is 0. */
export function fitLine(points: readonly { readonly x: number; readonly y: number; }[]): Line {
    const count = points.length;
    const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
    const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
    const sumSquaresX = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
    const sumSquaresY = points.reduce((sum, point) => sum + (point.y - meanY) ** 2, 0);
    const sumProducts = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
    const slope = sumSquaresX === 0 ? 0 : sumProducts / sumSquaresX;
    const fit = sumSquaresX === 0 || sumSquaresY === 0 ? 1 : sumProducts ** 2 / (sumSquaresX * sumSquaresY);
    return { slope, intercept: meanY - slope * meanX, fit };
}
