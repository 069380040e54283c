/**
Messages by which entry hosts send each other updates of the store's objects.
*/
import * as validators from '../generated/stored.js';
import type * as types from '../generated/types.js';
import type * as objects from './objects.js';
import type * as caches from './cache.js';
import * as validation from './validation.js';

/** The caches of all kinds. */
export type Caches = {readonly [K in objects.CachedKind]: caches.Cache<K>};

/** The revisions of a host without any state. Subscribing with them requests the complete state. */
export const noRevisions: types.KnownRevisions = {
	configuration: 0, servers: 0, hosts: 0, claims: 0,
};

/** The current revision of each kind. */
export function revisions({configuration, servers, hosts, claims}: Caches): types.KnownRevisions {
	return {
		configuration: configuration.revision ?? 0, servers: servers.revision ?? 0, hosts: hosts.revision ?? 0, claims: claims.revision ?? 0,
	};
}

/** Creates the message for an update that was the store's state `ageMs` ago. */
export function describe<K extends objects.Kind>(kind: K, {from, revision, items, gone}: caches.Update<K>, ageMs: number): types.StateNotice {
	const sent = items.map(item => ({
		name: item.name, revision: item.revision, fault: item.fault, value: item.value ?? null,
	}));
	const notice = {
		kind, from: from ?? null, revision, ageMs, items: sent, gone: [...gone],
	};
	return notice as types.StateNotice;
}

/** Applies an update that the host `source` sent to the cache of its kind. Returns false if an earlier update is missing. */
export function apply(all: Caches, {kind, from, revision, items, gone}: types.StateNotice, confirmedAt: number, source: string): boolean {
	const update = {
		from: from ?? undefined, revision, items: items.map(({value, ...item}) => ({...item, ...read(kind, value, item.fault)})), gone,
	};
	return (all[kind] as caches.Cache<objects.Kind>).apply(update as caches.Update<objects.Kind>, confirmedAt, source);
}

/** Reads a value that another host passed on. That host may be of a build that checks less. */
function read(kind: objects.CachedKind, value: unknown, fault: string): validation.Checked<unknown> {
	if (value === null) {
		return {value: undefined, fault};
	}

	switch (kind) {
		case 'servers': {
			return validation.check(validators.validateRegistration, value);
		}

		case 'hosts': {
			return validation.check(validators.validateAnnouncement, value);
		}

		case 'configuration':
		case 'claims': {
			return {value, fault};
		}
	}
}
