/**
The links of a host, opened on demand, with one task for each.
*/
import type * as clock from '../core/clock.js';
import * as conversation from './conversation.js';
import type * as link from './link.js';

/** Dependencies of `Links`. */
export type Parts = {
	/** Name of this host. */
	readonly host: string;
	readonly clock: clock.Clock;
	readonly transport: link.Transport;
	readonly handler: conversation.Handler;
	/** Maximum time in ms until the first hello message on a new link. */
	readonly timeoutMs: number;
};

/** All links of a host. */
export class Links {
	readonly #options: Parts;
	readonly #connections = new Set<conversation.Conversation>();
	readonly #opening = new Map<string, Promise<conversation.Conversation | undefined>>();
	#isStopped = false;

	constructor(options: Parts) {
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
	find(host: string): conversation.Conversation | undefined {
		return this.#findPreferred(peer => peer.host === host);
	}

	/** The connection to the host at an address, opened if there is none; `undefined` on failure. */
	async reach({name, address}: {name?: string; address: string}): Promise<conversation.Conversation | undefined> {
		const found = this.#findPreferred(peer => peer.host === name || peer.hello?.address === address);
		if (found ?? this.#isStopped) {
			return found;
		}

		const opening = this.#opening.get(address) ?? this.#openLink(address);
		this.#opening.set(address, opening);
		const opened = await opening;
		this.#opening.delete(address);
		if (!opened && name !== undefined) {
			this.#options.handler.unreachable(name);
		}

		return opened;
	}

	/** Sends the hello message on every link on which its content has changed. */
	greet(): void {
		for (const peer of this.#connections) {
			peer.greet();
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

	#findPreferred(isWanted: (peer: conversation.Conversation) => boolean): conversation.Conversation | undefined {
		const found = [...this.#connections].filter(peer => peer.isOpen && peer.hello !== undefined && isWanted(peer));
		return found.find(peer => peer.isOpener === (this.#options.host < peer.host)) ?? found[0];
	}

	/** Closes a duplicate link, which this host opened at the same time as the peer opened the preferred one, once it is idle. */
	async #closeDuplicate(peer: conversation.Conversation): Promise<void> {
		while (peer.isOpen) {
			await this.#options.clock.sleep(this.#options.timeoutMs);
			if (peer.isIdle && this.find(peer.host) !== peer) {
				peer.close();
			}
		}
	}

	async #openLink(address: string): Promise<conversation.Conversation | undefined> {
		const opened = await this.#options.transport.open(address);
		if (!opened) {
			return undefined;
		}

		const peer = this.#add(opened, true);
		if (!await peer.greeted(this.#options.timeoutMs)) {
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
		if (!await peer.greeted(this.#options.timeoutMs)) {
			peer.close('timed out waiting for the hello message');
		}
	}

	#add(opened: link.Link, isOpener: boolean): conversation.Conversation {
		const peer = new conversation.Conversation(opened, isOpener, this.#options.handler, this.#options.clock);
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
