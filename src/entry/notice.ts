/**
Steps of a replica as messages between entry hosts.
*/
import type * as types from '../generated/types.js';
import type * as objects from './objects.js';
import type * as replicas from './replica.js';

/** The replicas of all kinds. */
export type Replicas = {readonly [K in objects.Kind]: replicas.Replica<K>};

/** The revisions of a host that has no state yet. */
export const nothing: types.KnownRevisions = {
	configuration: 0, servers: 0, hosts: 0, claims: 0,
};

/** The revisions that a host has. */
export function revisions({configuration, servers, hosts, claims}: Replicas): types.KnownRevisions {
	return {
		configuration: configuration.revision ?? 0, servers: servers.revision ?? 0, hosts: hosts.revision ?? 0, claims: claims.revision ?? 0,
	};
}

/** Writes a step that was the store's state `ageMs` ago. */
export function describe<K extends objects.Kind>(kind: K, {from, revision, items, gone}: replicas.Step<K>, ageMs: number): types.StateNotice {
	const notice = {
		kind, from: from ?? null, revision, ageMs, items: items.map(({value, ...item}) => ({...item, value: value ?? null})), gone: [...gone],
	};
	return notice as types.StateNotice;
}

/** Whether a message is a step of a replica. */
export function isState(message: types.EntryMessage): message is types.StateNotice {
	return message.kind === 'configuration' || message.kind === 'servers' || message.kind === 'hosts' || message.kind === 'claims';
}

/** Applies a step to the replica of its kind. False if a step before it is missing. */
export function apply(held: Replicas, {kind, from, revision, items, gone}: types.StateNotice, provenAt: number): boolean {
	const step = {
		from: from ?? undefined, revision, items: items.map(({value, ...item}) => ({...item, value: value ?? undefined})), gone,
	};
	return (held[kind] as replicas.Replica<objects.Kind>).apply(step, provenAt);
}
