/**
Decides whether the servers that respond hold every acknowledged commit together, so that the most advanced of them may lead.
Works on plain data.

An acknowledged commit is in the logs of its leader and of at least one replica. Two arguments show that one of these logs is
among those that responded:

1. At most one log is missing. Every server has responded and has lost nothing since it was compared with a leader, but for
   the leader, or for one server that may be the leader if none is known.
2. The log of the last leader is among them, so the most advanced log reaches its end. A server that loses its log starts with
   an empty one, which only a leader fills. No leader came after the last one, so its log is whole unless it is empty. If
   no server leads, every server that may have led last responds, and no log is empty, then one of them is the whole log of
   the last leader. It doesn't matter which, nor what the others have lost.

Positions are compared by the term of the last entry, then by its number, so a log with a later end has whatever was acknowledged
in one with an earlier end.

A server whose process has ended responds no more, but what became of its log is known in two cases. A new incarnation under
its id has its log, or the log is lost. A server that announced its end passes its log on to a new server at its address.
*/
import * as position from '../core/position.js';

/** What a server reported of itself. */
export type Answer = {readonly role: 'primary' | 'replica'; readonly position: position.Position};

/** A registered server other than the known leader. */
export type Server = {
	readonly id: string;
	readonly address: string;
	/** Whether its log has been compared with the leader's, and no log was lost since. */
	readonly isCompared: boolean;
	/** `undefined` if it did not respond. */
	readonly answer: Answer | undefined;
};

/** A server that was removed and that may have been the last leader. */
export type Departure = {
	readonly id: string;
	readonly address: string;
	/** Whether it had announced its end. */
	readonly isPlanned: boolean;
	/** Last known end of its log. */
	readonly position: position.Position | undefined;
};

/** What is known of the leader: which one it is, that it was removed, or nothing. */
export type Leader = 'known' | 'removed' | 'unknown';

/** What a host knows of the servers of one group. */
export type View = {
	readonly leader: Leader;
	readonly servers: readonly Server[];
	/** Ids of servers that the stored in-sync set names and that this host has never seen in that incarnation. */
	readonly missing: readonly string[];
	readonly departures: readonly Departure[];
	/** Whether this host knows which servers the group had: from a stored in-sync set, or since it has seen a leader. */
	readonly isMembershipKnown: boolean;
};

/** A server that may hold acknowledged commits which no log that responded is known to have, and the reason. */
export type Gap = {readonly id: string; readonly reason: string};

/**
The servers because of which no server may be promoted; none if the most advanced log of those that responded has every
acknowledged commit.

@example
```
const gaps = completeness.findGaps(view);
if (gaps.length > 0) {
	return errors.fail('not-run', 'observe', name, completeness.describe(gaps));
}
```
*/
export function findGaps(view: View): Gap[] {
	const gaps = findUncompared(view);
	const isTolerated = gaps.length <= (view.leader === 'unknown' && view.servers.some(({isCompared, answer}) => isCompared && answer) ? 1 : 0);
	return isTolerated || isLastLogIncluded(view) ? [] : [...gaps, ...findLeft(view)];
}

/** The gaps as text for a log line. */
export function describe(gaps: readonly Gap[]): string {
	return `${gaps.map(({id}) => id).join(', ')} may hold acknowledged commits but did not respond, or lost its log (${gaps.map(({id, reason}) => `${id}: ${reason}`).join('; ')})`;
}

/** The servers that did not respond, or whose log may lack what another one has lost. */
function findUncompared({servers, missing}: View): Gap[] {
	const uncompared = servers.flatMap(({id, isCompared, answer}): Gap[] => {
		if (!answer) {
			return [{id, reason: 'did not respond'}];
		}

		const state = `${answer.role} with ${isEmpty(answer.position) ? 'an empty log' : position.format(answer.position)}`;
		return isCompared ? [] : [{id, reason: `${state}, not compared with a leader since it started or another log was lost`}];
	});
	return [...uncompared, ...missing.map(id => ({id, reason: 'in the stored in-sync set, but not registered in that incarnation'}))];
}

/** The servers that may have been the last leader and whose logs no server has taken over. */
function findLeft({leader, servers, departures}: View): Gap[] {
	const left = leader === 'known' ? [] : departures.filter(departure => !servers.some(server => hasLogOf(server, departure)));
	return left.map(({id, address, isPlanned}) => ({id, reason: isPlanned ? `left as planned, and no server at ${address} has its log` : 'removed, may return with its log'}));
}

/** Whether the whole log of the last leader is among those that responded. */
function isLastLogIncluded({leader, servers, missing, departures, isMembershipKnown}: View): boolean {
	return leader !== 'known' && isMembershipKnown && servers.length > 0
		&& servers.every(({answer}) => answer?.role === 'replica' && !isEmpty(answer.position))
		&& missing.every(id => servers.some(server => server.id === id))
		&& departures.every(departure => servers.some(server => hasLogOf(server, departure)));
}

/** Whether a server is a new incarnation of one that was removed, or has the log of one that left as planned. */
function hasLogOf({id, address, answer}: Server, departure: Departure): boolean {
	const hasEnd = !departure.position || (answer !== undefined && position.compare(answer.position, departure.position) >= 0);
	return id === departure.id || (departure.isPlanned && address === departure.address && hasEnd);
}

function isEmpty({index}: position.Position): boolean {
	return index === 0;
}
