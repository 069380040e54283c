/**
Calls of the platform's interfaces: HTTP with JSON bodies.
*/
import * as buffer from 'node:buffer';
import * as http from 'node:http';
import * as Either from 'fp-ts/lib/Either.js';
import * as address from '../core/address.js';
import * as errors from '../core/errors.js';

/** One call. `path` may have a query. */
export type Call = {
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
	readonly timeoutMs: number;
};

/** The status of a response and its decoded body, which is `undefined` if it isn't JSON. */
export type Response = {readonly status: number; readonly body: unknown};

/** Connections kept open: one for each watch that waits, and a few for other calls. */
const mostConnections = 12;

/** Calls one address. */
export class Client {
	readonly #agent = new http.Agent({keepAlive: true, maxSockets: mostConnections, noDelay: true});
	readonly #address: string;

	constructor(text: string) {
		this.#address = text;
	}

	/** Closes every connection; calls under way fail. */
	close(): void {
		this.#agent.destroy();
	}

	/** Makes a call. Errors: `store`, when no complete response arrived; the call may still be carried out. */
	async call({method, path, headers = {}, body, timeoutMs}: Call): Promise<errors.Outcome<Response>> {
		const {host, port} = address.parse(this.#address);
		const text = body === undefined ? undefined : JSON.stringify(body);
		return new Promise(resolve => {
			const fail = (reason: string): void => {
				clearTimeout(timer);
				resolve(errors.fail('store', 'store', this.#address, `${method} ${path}: ${reason}`));
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
				response.on('data', (chunk: Uint8Array) => {
					chunks.push(chunk);
				});
				response.on('error', error => {
					fail(error.message);
				});
				response.on('end', () => {
					clearTimeout(timer);
					resolve(Either.right({status: response.statusCode ?? 0, body: parse(buffer.Buffer.concat(chunks).toString())}));
				});
			});
			// A connection on which an answer is lost carries none afterwards, so it is not used again.
			const timer = setTimeout(() => {
				request.destroy(new Error(`no answer within ${timeoutMs} ms`));
			}, timeoutMs);
			request.on('error', error => {
				fail(error.message);
			});
			request.end(text);
		});
	}
}

function parse(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		// The caller reports a body that it needs and can't read.
		return undefined;
	}
}
