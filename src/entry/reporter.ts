/**
Answers the inquiries of other hosts that replace the leader of a service, after it has carried out their orders.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as decisions from './decisions.js';
import type * as groups from './group.js';
import * as hosts from './hosts.js';
import type * as member from './member.js';
import * as orders from './orders.js';

export type Options = {
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	/** Whether this host has seen the claim in a service that has a token, or a later one. */
	readonly hasSeenClaim: (service: string, token: number) => boolean;
	readonly findGroup: (service: string) => groups.Group | undefined;
};

/** A response that is older doesn't show that the server still responds, so it is probed. */
const recentMs = 100;
/** Time for a server to respond to the probe, and to the order to step down. */
const probeTimeoutMs = 120;
const stepDownTimeoutMs = 200;

/** Reports this host's view of the leaders. */
export class Reporter {
	readonly #options: Options;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Carries out the order of an inquiry and reports the view after it. */
	async answer({id, service, order, server, term, token}: types.LeaderInquiry): Promise<types.LeaderReport> {
		const group = this.#options.findGroup(service);
		if (!group) {
			return {
				kind: 'leader-report', id, view: 'unknown', leader: '', status: null, acknowledged: null, acknowledgedAgoMs: null, withheld: 0,
			};
		}

		const leader = server === '' ? group.leader : group.members.find(other => other.id === server);
		const status = await this.#carryOut({
			order, server, term, token,
		}, group, leader);
		const {confirmations, acknowledged} = group;
		const isRecovery = order === 'report' && token > 0;
		const outstanding = isRecovery && this.#options.hasSeenClaim(service, token) ? confirmations.allOutstanding : undefined;
		const agoMs = this.#options.clock.now() - confirmations.acknowledgedAt;
		return {
			kind: 'leader-report',
			id,
			view: order === 'report' && !isRecovery ? await this.#view(group, leader) : 'unknown',
			leader: group.leader?.id ?? '',
			status,
			acknowledged,
			acknowledgedAgoMs: Number.isFinite(agoMs) ? agoMs : null,
			withheld: confirmations.withheld,
			...(outstanding && {outstanding: outstanding.map(entry => hosts.encodeOutstanding(entry))}),
		};
	}

	/** Carries out an order. Returns the leader's answer to the order to step down, null without one. */
	async #carryOut({order, server, term, token}: Pick<types.LeaderInquiry, 'order' | 'server' | 'term' | 'token'>, group: groups.Group, leader: member.Member | undefined): Promise<types.ServerStatus | null> {
		switch (order) {
			case 'report': {
				return null;
			}

			case 'suspend': {
				this.#options.decisions.record('confirmations-suspended', {service: group.name, term, token});
				group.confirmations.apply(token, {kind: 'nobody', term});
				return null;
			}

			case 'keep':
			case 'discard': {
				announce(group, {
					order, server, term, token,
				});
				return null;
			}

			case 'step-down': {
				// A server that another one has replaced confirms a step-down that didn't take place.
				const outcome = leader && group.leader === leader && await this.#options.clock.limit(new orders.Orders({...this.#options, group}).stepDown(leader, term), stepDownTimeoutMs);
				return outcome && Either.isRight(outcome) ? outcome.right.status : null;
			}
		}
	}

	async #view(group: groups.Group, server: member.Member | undefined): Promise<types.LeaderView> {
		if (!server) {
			return 'unknown';
		}

		const {clock: time} = this.#options;
		const askedAt = time.now();
		if (server.failingSince === undefined && askedAt - server.lastResponseAt <= recentMs) {
			return 'responding';
		}

		if (server.failingSince !== undefined && askedAt - server.failingSince > recentMs) {
			return 'silent';
		}

		await time.limit(group.verifyResponse(server), probeTimeoutMs);
		// A refusal at the connection limit is a response as well.
		return server.lastResponseAt >= askedAt || server.pool.wasRefused ? 'responding' : 'silent';
	}
}

/** Passes on a claimant's rule. Without a server, nothing was ordered, or the claimant doesn't name the successor. */
function announce({confirmations}: groups.Group, {order, server, term, token}: {readonly order: 'keep' | 'discard'} & Pick<types.LeaderInquiry, 'server' | 'term' | 'token'>): void {
	if (server !== '') {
		confirmations.apply(token, hosts.decodeRule({order, server, term}));
	} else if (order === 'keep') {
		confirmations.release(token);
	} else {
		confirmations.discard(token);
	}
}
