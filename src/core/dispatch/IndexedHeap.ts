/** Binary heap whose entries store their position, so that any entry can be removed in O(log n). */
export class IndexedHeap<T extends object> {
    private readonly items: T[] = [];

    /** `setPosition` stores the position of an entry (-1 once it is removed); `getPosition` returns the stored position. */
    constructor(
        private readonly isBefore: (left: T, right: T) => boolean,
        private readonly getPosition: (item: T) => number,
        private readonly setPosition: (item: T, position: number) => void,
    ) {}

    get size(): number {
        return this.items.length;
    }

    peek(): T | undefined {
        return this.items[0];
    }

    /** Returns the last leaf in O(1): an entry towards the end of the order, not necessarily the last one. */
    lastLeaf(): T | undefined {
        return this.items[this.items.length - 1];
    }

    push(item: T): void {
        this.items.push(item);
        this.siftUp(item, this.items.length - 1);
    }

    remove(item: T): void {
        const position = this.getPosition(item);
        if (this.items[position] !== item) {
            return;
        }
        this.setPosition(item, -1);
        const last = this.items.pop() as T;
        if (last === item) {
            return;
        }
        this.siftUp(last, position);
        this.siftDown(last, this.getPosition(last));
    }

    private siftUp(item: T, start: number): void {
        let position = start;
        while (position > 0) {
            const parentPosition = (position - 1) >> 1;
            const parent = this.items[parentPosition] as T;
            if (!this.isBefore(item, parent)) {
                break;
            }
            this.place(parent, position);
            position = parentPosition;
        }
        this.place(item, position);
    }

    private siftDown(item: T, start: number): void {
        let position = start;
        for (;;) {
            const child = this.findFirstChild(position);
            if (child < 0 || !this.isBefore(this.items[child] as T, item)) {
                break;
            }
            this.place(this.items[child] as T, position);
            position = child;
        }
        this.place(item, position);
    }

    private findFirstChild(position: number): number {
        const left = 2 * position + 1;
        const right = left + 1;
        if (left >= this.items.length) {
            return -1;
        }
        if (right < this.items.length && this.isBefore(this.items[right] as T, this.items[left] as T)) {
            return right;
        }
        return left;
    }

    private place(item: T, position: number): void {
        this.items[position] = item;
        this.setPosition(item, position);
    }
}
