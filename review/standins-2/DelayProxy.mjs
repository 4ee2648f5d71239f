import { once } from "node:events";
import { connect, createServer } from "node:net";

/** Passes the bytes of each channel on after a delay, in one direction only: what is sent to the target is late. */
export class DelayProxy {
    delayMs = 0;

    constructor(target) {
        [this.targetHost, this.targetPort] = target.split(":");
    }

    /** Starts to listen and returns the address. */
    async listen(host) {
        this.server = createServer(caller => {
            const target = connect(Number(this.targetPort), this.targetHost);
            const { delayMs } = this;
            caller.on("data", bytes => setTimeout(() => target.write(bytes), delayMs));
            caller.on("close", () => setTimeout(() => target.end(), delayMs));
            target.on("data", bytes => caller.destroyed || caller.write(bytes));
            target.on("close", () => caller.destroy());
            caller.on("error", () => undefined);
            target.on("error", () => undefined);
        });
        this.server.listen(0, host);
        await once(this.server, "listening");
        return `${host}:${this.server.address().port}`;
    }
}
