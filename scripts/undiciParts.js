// Exports only the parts of undici that the program uses; its index would also load fetch, WebSocket, caches and mocks at each start.
import api from "../node_modules/undici/lib/api/index.js";
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js";

Object.assign(Dispatcher.prototype, api);

export { default as buildConnector } from "../node_modules/undici/lib/core/connect.js";
export { default as errors } from "../node_modules/undici/lib/core/errors.js";
export { default as Agent } from "../node_modules/undici/lib/dispatcher/agent.js";
export { default as Client } from "../node_modules/undici/lib/dispatcher/client.js";
export { default as Pool } from "../node_modules/undici/lib/dispatcher/pool.js";
export { Dispatcher };
