/**
The platform's object API over HTTP and JSON.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as errors from '../core/errors.js';
import * as messages from '../generated/messages.js';
import * as store from './store.js';

/** Base URL of the API, timeout of one call, and maximum duration of one watch. */
export type Options = {readonly url: string; readonly timeoutMs: number; readonly watchMs: number};

const statusConflict = 409;

/** The object store over HTTP. */
export class Store extends store.Store {
	readonly #options: Options;

	constructor(options: Options) {
		super();
		this.#options = options;
	}

	override async read(key: string): Promise<errors.Outcome<store.Entry>> {
		return this.#call(key, {}, {timeoutMs: this.#options.timeoutMs});
	}

	override async update(key: string, value: string, expectedVersion: number): Promise<errors.Outcome<store.Entry>> {
		return this.#call(key, {expected: expectedVersion}, {timeoutMs: this.#options.timeoutMs, value});
	}

	override async watch(key: string, afterVersion: number, signal: AbortSignal, waitMs = this.#options.watchMs): Promise<errors.Outcome<store.Entry>> {
		const wait = Math.min(waitMs, this.#options.watchMs);
		return this.#call(key, {after: afterVersion, wait}, {timeoutMs: this.#options.timeoutMs + wait, signal});
	}

	async #call(
		key: string,
		query: Record<string, number>,
		{timeoutMs, value, signal}: {timeoutMs: number; value?: string; signal?: AbortSignal},
	): Promise<errors.Outcome<store.Entry>> {
		const url = new URL(`objects/${encodeURIComponent(key)}`, this.#options.url.endsWith('/') ? this.#options.url : `${this.#options.url}/`);
		for (const [name, number] of Object.entries(query)) {
			url.searchParams.set(name, String(number));
		}

		const timeout = AbortSignal.timeout(timeoutMs);
		try {
			const response = await fetch(url, {
				method: value === undefined ? 'GET' : 'PUT',
				body: value,
				signal: signal ? AbortSignal.any([timeout, signal]) : timeout,
			});
			return await this.#read(key, response);
		} catch (error) {
			return this.#fail(`${key}: ${describe(error)}`);
		}
	}

	async #read(key: string, response: Response): Promise<errors.Outcome<store.Entry>> {
		if (response.status === statusConflict) {
			return errors.fail('conflict', 'store', this.#options.url, `${key} does not have the expected version`);
		}

		if (!response.ok) {
			return this.#fail(`${key}: HTTP status ${response.status}`);
		}

		const entry: unknown = await response.json();
		return messages.validateVersionedObject(entry) ? Either.right(entry) : this.#fail(`${key}: unexpected response body`);
	}

	#fail(message: string): errors.Outcome<never> {
		return errors.fail('store', 'store', this.#options.url, message);
	}
}

/** Formats an error with its cause, which for `fetch` describes the failure of the connection. */
function describe(error: unknown): string {
	if (!(error instanceof Error)) {
		return String(error);
	}

	return error.cause instanceof Error ? `${error.message}: ${error.cause.message}` : error.message;
}
