import { createClient, type Interceptor } from "@connectrpc/connect";
import { createConnectTransport, createGrpcTransport } from "@connectrpc/connect-node";
import { expect } from "earl";
import { readFileSync } from "node:fs";
import { after, test } from "node:test";
import { fileURLToPath } from "node:url";
import { OperatorService } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { startTestOperator } from "./testing/startTestOperator.js";

const resolveTestFile = (name: string) => fileURLToPath(new URL(`./testing/${name}`, import.meta.url));
const certFile = resolveTestFile("test-certificate.pem");
const keyFile = resolveTestFile("test-key.pem");
const shutdown = new AbortController();

after(() => {
    shutdown.abort();
});

/** Calls Status and returns the name of the VM, or "no answer" if the call fails. */
async function fetchStatusVm(
    protocol: "connect" | "grpc",
    operator: Awaited<ReturnType<typeof startTestOperator>>,
    nodeOptions: object,
): Promise<string> {
    const withToken: Interceptor = next => request => {
        request.header.set("authorization", `Bearer ${operator.token}`);
        return next(request);
    };
    const options = { baseUrl: operator.baseUrl, interceptors: [withToken], nodeOptions };
    const transport = protocol === "grpc" ? createGrpcTransport(options) : createConnectTransport({ ...options, httpVersion: "1.1" });
    return createClient(OperatorService, transport).status({}).then(status => status.vm, () => "no answer");
}

test("with TLS, HTTP/1.1 and gRPC are served on one port, and a client that does not trust the certificate closes the connection", async () => {
    const operator = await startTestOperator(shutdown.signal, { certFile, keyFile });
    const ca = readFileSync(certFile);
    expect(await fetchStatusVm("connect", operator, { ca })).toEqual("nadi-1");
    expect(await fetchStatusVm("grpc", operator, { ca })).toEqual("nadi-1");
    expect(await fetchStatusVm("connect", operator, {})).toEqual("no answer");
});

test("with caFile, a client without a certificate signed by that CA is rejected", async () => {
    const operator = await startTestOperator(shutdown.signal, { certFile, keyFile, caFile: certFile });
    const ca = readFileSync(certFile);
    expect(await fetchStatusVm("grpc", operator, { ca, cert: ca, key: readFileSync(keyFile) })).toEqual("nadi-1");
    expect(await fetchStatusVm("grpc", operator, { ca })).toEqual("no answer");
    expect(await fetchStatusVm("connect", operator, { ca })).toEqual("no answer");
});

test("the start error names a TLS file that cannot be read", async () => {
    const failed: unknown = await startTestOperator(shutdown.signal, { certFile: "missing.pem", keyFile }).catch((error: unknown) => error);
    expect(JSON.stringify(failed)).toMatchRegex(/missing\.pem.*correct listen\.operator/);
});
