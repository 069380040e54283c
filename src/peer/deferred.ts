/**
A transport whose implementation is loaded on first use, since loading it takes a tenth of a second.
*/
import * as link from './link.js';

/** Loads a transport on first use and forwards calls to it. */
export class Transport<M> extends link.Transport<M> {
	readonly #load: () => Promise<link.Transport<M>>;
	#loading: Promise<link.Transport<M>> | undefined;
	#loaded: link.Transport<M> | undefined;

	constructor(load: () => Promise<link.Transport<M>>) {
		super();
		this.#load = load;
	}

	override async listen(address: string, accept: (accepted: link.Link<M>) => void): Promise<string> {
		const transport = await this.#transport();
		return transport.listen(address, accept);
	}

	override async open(address: string): Promise<link.Link<M> | undefined> {
		const transport = await this.#transport();
		return transport.open(address);
	}

	override close(): void {
		this.#loaded?.close();
	}

	async #transport(): Promise<link.Transport<M>> {
		this.#loading ??= this.#load();
		this.#loaded = await this.#loading;
		return this.#loaded;
	}
}
