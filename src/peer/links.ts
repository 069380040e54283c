/**
The links of a host, opened on demand, with one task for each.
*/
import type * as clock from '../core/clock.js';
import * as connection from './connection.js';
import type * as link from './link.js';

/** Dependencies of `Links`. */
export type Options = {
	/** Name of this host. */
	readonly host: string;
	readonly clock: clock.Clock;
	readonly transport: link.Transport;
	readonly handler: connection.Handler;
	/** Maximum time in ms until the first hello message on a new link. */
	readonly timeoutMs: number;
};

/** All links of a host. */
export class Links {
	readonly #options: Options;
	readonly #connections = new Set<connection.Connection>();
	readonly #opening = new Map<string, Promise<connection.Connection | undefined>>();
	#isStopped = false;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Listens on IP:port and returns the address with the bound port. */
	async listen(address: string): Promise<string> {
		return this.#options.transport.listen(address, accepted => {
			void this.#accept(accepted);
		});
	}

	/**
	The connection to a host, if there is one. If both hosts opened a link at the same time, both use the link that the
	host with the lower name opened.
	*/
	find(host: string): connection.Connection | undefined {
		return this.#findPreferred(peer => peer.host === host);
	}

	/** The connection to the host at an address, opened if there is none; `undefined` on failure. */
	async connect({name, address}: {name?: string; address: string}): Promise<connection.Connection | undefined> {
		const found = this.#findPreferred(peer => peer.host === name || peer.hello?.address === address);
		if (found ?? this.#isStopped) {
			return found;
		}

		const opening = this.#opening.get(address) ?? this.#openLink(address);
		this.#opening.set(address, opening);
		const opened = await opening;
		this.#opening.delete(address);
		if (!opened && name !== undefined) {
			this.#options.handler.onUnreachable(name);
		}

		return opened;
	}

	/** Sends the hello message on every link on which its content has changed. */
	sendHello(): void {
		for (const peer of this.#connections) {
			peer.sendHello();
		}
	}

	/** Closes each link after its peer has received all sent messages. */
	async finish(): Promise<void> {
		this.#isStopped = true;
		this.#options.transport.close();
		await Promise.all([...this.#connections].map(async peer => peer.finish()));
	}

	/** Closes every link immediately. */
	stop(): void {
		this.#isStopped = true;
		this.#options.transport.close();
		for (const peer of this.#connections) {
			peer.close();
		}
	}

	#findPreferred(isWanted: (peer: connection.Connection) => boolean): connection.Connection | undefined {
		const found = [...this.#connections].filter(peer => peer.isOpen && peer.hello !== undefined && isWanted(peer));
		return found.find(peer => peer.isInitiator === (this.#options.host < peer.host)) ?? found[0];
	}

	/** Closes a duplicate link, which this host opened at the same time as the peer opened the preferred one, once it is idle. */
	async #closeDuplicate(peer: connection.Connection): Promise<void> {
		while (peer.isOpen) {
			await this.#options.clock.sleep(this.#options.timeoutMs);
			if (peer.isIdle && this.find(peer.host) !== peer) {
				peer.close();
			}
		}
	}

	async #openLink(address: string): Promise<connection.Connection | undefined> {
		const opened = await this.#options.transport.open(address);
		if (!opened) {
			return undefined;
		}

		const peer = this.#add(opened, true);
		if (!await peer.awaitHello(this.#options.timeoutMs)) {
			peer.close('timed out waiting for the hello message');
			return undefined;
		}

		if (this.#options.host > peer.host) {
			void this.#closeDuplicate(peer);
		}

		return peer;
	}

	async #accept(accepted: link.Link): Promise<void> {
		const peer = this.#add(accepted, false);
		if (!await peer.awaitHello(this.#options.timeoutMs)) {
			peer.close('timed out waiting for the hello message');
		}
	}

	#add(opened: link.Link, isInitiator: boolean): connection.Connection {
		const peer = new connection.Connection(opened, isInitiator, this.#options.handler, this.#options.clock);
		this.#connections.add(peer);
		const run = async (): Promise<void> => {
			await peer.run();
			this.#connections.delete(peer);
		};

		void run();
		if (this.#isStopped) {
			peer.close();
		}

		return peer;
	}
}
