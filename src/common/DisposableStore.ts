/** Collects the resources of an object and disposes of them in reverse order. */
import type { Disposable } from "./Types.js";

export class DisposableStore implements Disposable {
    private readonly items: Disposable[] = [];
    private disposed = false;

    /** Adds and returns an item. It is disposed of immediately if the store already is. */
    public add<T extends Disposable>(item: T): T {
        if (this.disposed) {
            item.dispose();
        }
        else {
            this.items.push(item);
        }
        return item;
    }

    public dispose(): void {
        this.disposed = true;
        for (let item = this.items.pop(); item !== undefined; item = this.items.pop()) {
            item.dispose();
        }
    }
}
