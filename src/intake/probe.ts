/**
Limits of HTTP servers whose clients send short requests: readiness, metrics, and the opening of links.
*/
import type * as http from 'node:http';
import type * as net from 'node:net';

const headersTimeoutMs = 5000;
const requestTimeoutMs = 10_000;
const checkIntervalMs = 1000;
const maxHeaderBytes = 8192;
/** Time without any progress of a connection, such as one whose replies are not taken. */
const silenceMs = 10_000;
/** Requests on one connection, after which it is closed. */
const maxRequests = 64;

/** Options of the server: bounds on headers and on the time of a request. */
export const options: http.ServerOptions = {
	connectionsCheckingInterval: checkIntervalMs,
	headersTimeout: headersTimeoutMs,
	requestTimeout: requestTimeoutMs,
	keepAliveTimeout: headersTimeoutMs,
	maxHeaderSize: maxHeaderBytes,
};

/**
Limits connections and requests. At the limit the oldest connection makes room for a new one, so that silent connections
don't lock out a probe. A client that sends a request before it has the reply to the last one is disconnected.

@example
```
probe.limit(server, 32);
```
*/
export function limit(server: http.Server, maxCount: number): void {
	const connections = new Set<net.Socket>();
	const waiting = new WeakSet<net.Socket>();
	server.maxRequestsPerSocket = maxRequests;
	server.setTimeout(silenceMs);
	server.prependListener('connection', (socket: net.Socket) => {
		connections.add(socket);
		socket.once('close', () => {
			connections.delete(socket);
		});
		const [oldest] = connections;
		if (connections.size > maxCount) {
			oldest.destroy();
		}
	});
	server.prependListener('upgrade', (_request: http.IncomingMessage, socket: net.Socket) => {
		connections.delete(socket);
	});
	server.prependListener('request', ({socket}: http.IncomingMessage, response: http.ServerResponse) => {
		if (waiting.has(socket)) {
			socket.destroy();
		}

		waiting.add(socket);
		response.once('finish', () => {
			waiting.delete(socket);
		});
	});
}
