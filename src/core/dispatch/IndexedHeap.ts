/** Binary heap whose entries store their position, so that any entry can be removed in O(log n). */
export class IndexedHeap<T extends object> {
    private readonly entries: T[] = [];

    /** `setPosition` stores the position of an entry (-1 once it is removed); `getPosition` returns the stored position. */
    constructor(
        private readonly isBefore: (left: T, right: T) => boolean,
        private readonly getPosition: (entry: T) => number,
        private readonly setPosition: (entry: T, position: number) => void,
    ) {}

    get size(): number {
        return this.entries.length;
    }

    peek(): T | undefined {
        return this.entries[0];
    }

    /** Returns the last leaf in O(1): an entry towards the end of the order, not necessarily the last one. */
    lastLeaf(): T | undefined {
        return this.entries[this.entries.length - 1];
    }

    push(entry: T): void {
        this.entries.push(entry);
        this.siftUp(entry, this.entries.length - 1);
    }

    remove(entry: T): void {
        const position = this.getPosition(entry);
        if (this.entries[position] !== entry) {
            return;
        }
        this.setPosition(entry, -1);
        const last = this.entries.pop() as T;
        if (last === entry) {
            return;
        }
        this.siftUp(last, position);
        this.siftDown(last, this.getPosition(last));
    }

    private siftUp(entry: T, start: number): void {
        let position = start;
        while (position > 0) {
            const parentPosition = (position - 1) >> 1;
            const parent = this.entries[parentPosition] as T;
            if (!this.isBefore(entry, parent)) {
                break;
            }
            this.place(parent, position);
            position = parentPosition;
        }
        this.place(entry, position);
    }

    private siftDown(entry: T, start: number): void {
        let position = start;
        for (;;) {
            const child = this.findFirstChild(position);
            if (child < 0 || !this.isBefore(this.entries[child] as T, entry)) {
                break;
            }
            this.place(this.entries[child] as T, position);
            position = child;
        }
        this.place(entry, position);
    }

    private findFirstChild(position: number): number {
        const left = 2 * position + 1;
        const right = left + 1;
        if (left >= this.entries.length) {
            return -1;
        }
        if (right < this.entries.length && this.isBefore(this.entries[right] as T, this.entries[left] as T)) {
            return right;
        }
        return left;
    }

    private place(entry: T, position: number): void {
        this.entries[position] = entry;
        this.setPosition(entry, position);
    }
}
