/** Typed event emitter. Listeners subscribe through `event` and unsubscribe by disposing of the returned value. */
import type { Disposable, Event } from "./Types.js";

export class Emitter<T> implements Disposable {
    private readonly listeners = new Set<(value: T) => void>();

    public readonly event: Event<T> = listener => {
        this.listeners.add(listener);
        return { dispose: () => this.listeners.delete(listener) };
    };

    public fire(value: T): void {
        for (const listener of [...this.listeners]) {
            listener(value);
        }
    }

    public dispose(): void {
        this.listeners.clear();
    }
}
