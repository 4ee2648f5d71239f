/** Chooses addresses of the loopback net for one run, so that runs beside each other do not meet. Returns a function from 1..250 to an address. */
export function chooseLoopbackNet() {
    const net = `127.${100 + Math.floor(Math.random() * 100)}.${1 + Math.floor(Math.random() * 250)}`;
    return host => `${net}.${host}`;
}
