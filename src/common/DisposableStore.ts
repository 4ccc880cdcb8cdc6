/** Collects what an object has opened, and closes it in reverse order. */
import type { Disposable } from "./Types.js";

export class DisposableStore implements Disposable {
    private readonly items: Disposable[] = [];
    private disposed = false;

    /** Registers an item; it is disposed of at once when the store already is. */
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
