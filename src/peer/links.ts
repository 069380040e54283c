/**
The links of a host: opened on demand, one task for each.
*/
import type * as clock from '../core/clock.js';
import * as conversation from './conversation.js';
import type * as link from './link.js';

/** What links need. */
export type Parts = {
	/** Name of this host. */
	readonly host: string;
	readonly clock: clock.Clock;
	readonly transport: link.Transport;
	readonly handler: conversation.Handler;
	/** Time in ms for a new link's greeting. */
	readonly timeoutMs: number;
};

/** All links of a host. */
export class Links {
	readonly #parts: Parts;
	readonly #open = new Set<conversation.Conversation>();
	readonly #opening = new Map<string, Promise<conversation.Conversation | undefined>>();
	#isStopped = false;

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	/** Listens on IP:port and gives the address with the real port. */
	async listen(address: string): Promise<string> {
		return this.#parts.transport.listen(address, accepted => {
			void this.#converse(accepted);
		});
	}

	/**
	The link to a host, if there is one. Where both hosts opened one at the same time, both use the one that the host
	with the lower name opened.
	*/
	find(host: string): conversation.Conversation | undefined {
		return this.#preferred(peer => peer.host === host);
	}

	/** The link to the host at an address, opened if there is none; `undefined` if that fails. */
	async reach({name, address}: {name?: string; address: string}): Promise<conversation.Conversation | undefined> {
		const found = this.#preferred(peer => peer.host === name || peer.hello?.address === address);
		if (found ?? this.#isStopped) {
			return found;
		}

		const opening = this.#opening.get(address) ?? this.#start(address);
		this.#opening.set(address, opening);
		const opened = await opening;
		this.#opening.delete(address);
		if (!opened && name !== undefined) {
			this.#parts.handler.unreachable(name);
		}

		return opened;
	}

	/** Says hello on every link whose peer has not heard the present content. */
	greet(): void {
		for (const peer of this.#open) {
			peer.greet();
		}
	}

	/** Closes every link once its peer has everything that was sent. */
	async finish(): Promise<void> {
		this.#isStopped = true;
		this.#parts.transport.close();
		await Promise.all([...this.#open].map(async peer => peer.finish()));
	}

	/** Closes every link at once. */
	stop(): void {
		this.#isStopped = true;
		this.#parts.transport.close();
		for (const peer of this.#open) {
			peer.close();
		}
	}

	#preferred(isWanted: (peer: conversation.Conversation) => boolean): conversation.Conversation | undefined {
		const found = [...this.#open].filter(peer => peer.isOpen && peer.hello !== undefined && isWanted(peer));
		return found.find(peer => peer.isOpener === (this.#parts.host < peer.host)) ?? found[0];
	}

	/** Closes a link that this host opened while the peer opened the one that both use, once nothing depends on it. */
	async #retire(peer: conversation.Conversation): Promise<void> {
		while (peer.isOpen) {
			await this.#parts.clock.sleep(this.#parts.timeoutMs);
			if (peer.isIdle && this.find(peer.host) !== peer) {
				peer.close();
			}
		}
	}

	async #start(address: string): Promise<conversation.Conversation | undefined> {
		const opened = await this.#parts.transport.open(address);
		if (!opened) {
			return undefined;
		}

		const peer = this.#add(opened, true);
		if (!await peer.greeted(this.#parts.timeoutMs)) {
			peer.close('no greeting in time');
			return undefined;
		}

		if (this.#parts.host > peer.host) {
			void this.#retire(peer);
		}

		return peer;
	}

	async #converse(accepted: link.Link): Promise<void> {
		const peer = this.#add(accepted, false);
		if (!await peer.greeted(this.#parts.timeoutMs)) {
			peer.close('no greeting in time');
		}
	}

	#add(opened: link.Link, isOpener: boolean): conversation.Conversation {
		const peer = new conversation.Conversation(opened, isOpener, this.#parts.handler, this.#parts.clock);
		this.#open.add(peer);
		const run = async (): Promise<void> => {
			await peer.run();
			this.#open.delete(peer);
		};

		void run();
		if (this.#isStopped) {
			peer.close();
		}

		return peer;
	}
}
