/** A map with a maximum size: an entry beyond it replaces the one that was set longest ago. */
export class BoundedMap<K, V> extends Map<K, V> {
    public constructor(private readonly maxSize: number) {
        super();
    }

    /** Sets an entry, which becomes the newest one. */
    public override set(key: K, value: V): this {
        this.delete(key);
        super.set(key, value);
        for (const oldest of this.keys()) {
            if (this.size <= this.maxSize) {
                break;
            }
            this.delete(oldest);
        }
        return this;
    }
}
