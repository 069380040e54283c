/**
HTTP client for the platform's APIs, with JSON bodies.
*/
import * as buffer from 'node:buffer';
import * as http from 'node:http';
import * as Either from 'fp-ts/lib/Either.js';
import * as address from '../core/address.js';
import * as errors from '../core/errors.js';

/** One call. `path` may include a query string. */
export type Call = {
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
	readonly timeoutMs: number;
	/** Each ends the call early, which then fails and releases its connection. They may outlive the call. */
	readonly signals?: readonly AbortSignal[];
};

/** A response with its parsed body, which is `undefined` if it isn't JSON. */
export type Response = {readonly status: number; readonly headers: http.IncomingHttpHeaders; readonly body: unknown};

/** Maximum number of open connections: one for each pending watch, and a few for other calls. */
const maxOpenSockets = 12;

/** Maximum size of a response body, several times that of a page of the store. */
const maxBodyBytes = 16 * 1024 * 1024;

/** Client of one address. */
export class Client {
	readonly #agent = new http.Agent({keepAlive: true, maxSockets: maxOpenSockets, noDelay: true});
	readonly #address: string;

	constructor(text: string) {
		this.#address = text;
	}

	/** Closes all connections; pending calls fail. */
	close(): void {
		this.#agent.destroy();
	}

	/** Makes a call. Errors: `store` if no complete response arrives; the call may still take effect. */
	async call({
		method, path, headers = {}, body, timeoutMs, signals = [],
	}: Call): Promise<errors.Outcome<Response>> {
		const {host, port} = address.parse(this.#address);
		const text = body === undefined ? undefined : JSON.stringify(body);
		return new Promise(resolve => {
			const settle = (outcome: errors.Outcome<Response>): void => {
				clearTimeout(timer);
				for (const signal of signals) {
					signal.removeEventListener('abort', abort);
				}

				resolve(outcome);
			};

			const fail = (reason: string): void => {
				settle(errors.fail('store', 'store', this.#address, `${method} ${path}: ${reason}`));
			};

			const request = http.request({
				agent: this.#agent,
				host,
				port,
				method,
				path,
				headers: text === undefined ? headers : {...headers, 'content-type': 'application/json', 'content-length': buffer.Buffer.byteLength(text)},
			}, response => {
				const chunks: Uint8Array[] = [];
				let bytes = 0;
				response.on('data', (chunk: Uint8Array) => {
					bytes += chunk.length;
					if (bytes > maxBodyBytes) {
						request.destroy(new Error(`the response is larger than ${maxBodyBytes} bytes`));
					} else {
						chunks.push(chunk);
					}
				});
				response.on('error', error => {
					fail(error.message);
				});
				response.on('end', () => {
					settle(Either.right({status: response.statusCode ?? 0, headers: response.headers, body: parse(buffer.Buffer.concat(chunks).toString())}));
				});
			});
			// A connection that lost one response delivers no later ones, so it is destroyed rather than reused. The timer takes
			// effect before the loop polls: a poll would send a call that waits for its connection, however late it is.
			const timer = setTimeout(() => {
				request.destroy(new Error(`no response within ${timeoutMs} ms`));
			}, timeoutMs);
			const abort = (): void => {
				request.destroy(new Error('the call was aborted'));
			};

			for (const signal of signals) {
				signal.addEventListener('abort', abort);
			}

			request.on('error', error => {
				fail(error.message);
			});
			if (signals.some(({aborted}) => aborted)) {
				abort();
			} else {
				request.end(text);
			}
		});
	}
}

function parse(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		// The caller of this function reports a missing body if it needs one.
		return undefined;
	}
}
