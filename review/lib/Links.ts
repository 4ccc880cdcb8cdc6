/**
 * The links between the system's processes: a proxy for each direction of each pair. While a link is cut, nothing passes
 * on its open channels, and new ones are refused; what was sent into it arrives once the cut has healed, as TCP sends it
 * again. What its sender has reset meanwhile is lost.
 */
import * as net from "node:net";

interface Address {
    readonly host: string;
    readonly port: number;
}

class Direction {
    private readonly held: (() => void)[] = [];
    private readonly sockets = new Set<net.Socket>();
    private server: net.Server | undefined;
    private isCut = false;

    public constructor(private readonly listenAt: Address, private readonly target: Address) {}

    public listen(): Promise<void> {
        const server = net.createServer({ allowHalfOpen: true }, socket => this.join(socket));
        this.server = server;
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(this.listenAt.port, this.listenAt.host, resolve);
        });
    }

    public cut(): void {
        this.isCut = true;
        this.server?.close();
    }

    public async heal(): Promise<void> {
        this.isCut = false;
        await this.listen();
        this.held.splice(0).forEach(pass => pass());
    }

    public dispose(): void {
        this.server?.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    private join(near: net.Socket): void {
        const far = net.connect({ ...this.target, allowHalfOpen: true });
        this.pipe(near, far);
        this.pipe(far, near);
    }

    private pipe(from: net.Socket, to: net.Socket): void {
        this.sockets.add(from);
        from.setNoDelay(true);
        let isReset = false;
        from.on("data", (data: Buffer) => this.pass(() => isReset || to.destroyed || to.write(data)));
        from.on("end", () => this.pass(() => isReset || to.end()));
        from.on("error", () => {
            // What is still held is lost.
            isReset = true;
            this.pass(() => to.resetAndDestroy());
        });
        from.on("close", () => this.sockets.delete(from));
    }

    private pass(step: () => unknown): void {
        if (this.isCut) {
            this.held.push(step);
        }
        else {
            step();
        }
    }
}

/** All links of a site; each process has a port of its own, at which it expects the others, too. */
export class Links {
    private readonly directions = new Map<string, Direction>();

    /** Ports by the address of the process. */
    public async open(ports: ReadonlyMap<string, number>): Promise<void> {
        for (const [from, fromPort] of ports) {
            for (const [to, toPort] of ports) {
                if (from !== to) {
                    const direction = new Direction({ host: to, port: fromPort }, { host: to, port: toPort });
                    this.directions.set(`${from} ${to}`, direction);
                    await direction.listen();
                }
            }
        }
    }

    /** Cuts one process off from others. */
    public cut(one: string, others: readonly string[]): void {
        this.between(one, others).forEach(direction => direction.cut());
    }

    public async heal(one: string, others: readonly string[]): Promise<void> {
        await Promise.all(this.between(one, others).map(direction => direction.heal()));
    }

    public dispose(): void {
        this.directions.forEach(direction => direction.dispose());
    }

    private between(one: string, others: readonly string[]): readonly Direction[] {
        return others.flatMap(other => [`${one} ${other}`, `${other} ${one}`])
            .map(name => this.directions.get(name))
            .filter(direction => direction !== undefined);
    }
}
