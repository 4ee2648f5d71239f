import { connect, createServer } from "node:net";

/**
 * TCP proxy in front of one address. While it is cut, it passes nothing on in either direction, as a network partition does. What was held up
 * is delivered at the end of the cut on connections that are still open, as TCP would send it again.
 */
export class CutProxy {
    #isCut = false;
    #callers = new Set();

    /** Listens on a free port of `host`; resolves with `HOST:PORT`. */
    start(host, target) {
        const [targetHost, targetPort] = target.split(":");
        const server = createServer({ pauseOnConnect: true }, caller => {
            this.#callers.add(caller);
            caller.on("error", () => undefined);
            caller.once("close", () => {
                this.#callers.delete(caller);
                caller.upstream?.destroy();
            });
            caller.open = () => {
                caller.upstream = connect(Number(targetPort), targetHost);
                caller.upstream.on("error", () => undefined);
                caller.upstream.once("close", () => caller.destroy());
                caller.upstream.on("data", bytes => caller.write(bytes));
                caller.on("data", bytes => caller.upstream.write(bytes));
                caller.resume();
            };
            if (!this.#isCut) {
                caller.open();
            }
        });
        return new Promise(resolve => server.listen(0, host, () => resolve(`${host}:${server.address().port}`)));
    }

    cut() {
        this.#isCut = true;
        for (const caller of this.#callers) {
            caller.pause();
            caller.upstream.pause();
        }
    }

    heal() {
        this.#isCut = false;
        for (const caller of this.#callers) {
            if (caller.upstream === undefined) {
                caller.open();
            }
            else {
                caller.resume();
                caller.upstream.resume();
            }
        }
    }
}
