/**
Decodes values from the platform's store into the project's types. Other processes write to the store too, so every value
is validated against the schema of its stored form.
*/
import * as buffer from 'node:buffer';
import * as validators from '../generated/stored.js';
import type * as types from '../generated/types.js';
import type * as objects from '../entry/objects.js';
import * as directories from '../entry/customers/directory.js';
import * as entries from '../entry/customers/entries.js';
import * as validation from '../entry/validation.js';

const routeKinds: Readonly<Record<types.StoredRoute['type'], types.RouteKind>> = {
	primary: 'primary', bounded_staleness: 'aged', read_your_writes: 'session',
};

/** Name of the one object of its kind that holds the configuration. */
const configurationName = 'main';

type Decoder<T> = (name: string, value: unknown) => validation.Checked<T>;

/** Decoders by kind of object. */
export const decoders: {readonly [K in objects.Kind]: Decoder<objects.Values[K]>} = {
	configuration(name, stored) {
		if (name !== configurationName) {
			return {value: undefined, fault: `the configuration is ${configurationName}`};
		}

		return decodeConfiguration(stored);
	},
	servers(name, stored) {
		const {value, fault} = validation.check(validators.validateStoredServer, stored);
		return {value: value && toRegistration(name, value), fault};
	},
	hosts: (_name, stored) => validation.check(validators.validateAnnouncement, stored),
	claims: (_name, stored) => validation.check(validators.validatePromotionClaim, stored),
	'in-sync': (_name, stored) => validation.check(validators.validateInSyncSet, stored),
};

/**
Decodes a configuration as operators write it.

@example
```
const {value, fault} = decode.decodeConfiguration(JSON.parse(text));
```
*/
export function decodeConfiguration(stored: unknown): validation.Checked<types.Deployment> {
	const {value, fault} = validation.check(validators.validateStoredConfiguration, stored);
	if (!value) {
		return {value: undefined, fault};
	}

	const selection = value.tenants && entries.select(value.tenants.map(tenant => readTenant(tenant)));
	return {value: toDeployment(value, selection?.customers), fault, omitted: selection?.omitted ?? []};
}

function toDeployment({version, routes, services, limits}: types.StoredConfiguration, customers: readonly types.Customer[] | undefined): types.Deployment {
	return {
		version,
		routes: routes.map(route => ({
			name: route.name,
			database: route.databaseName,
			kind: routeKinds[route.type],
			maximumAgeMs: route.maxStalenessMs ?? 0,
			statementTimeoutMs: route.timeoutMs,
			targetMs: route.targetLatencyMs,
			priority: route.priority,
			service: route.service,
			...(customers && {isPublic: route.public}),
		})),
		databases: services.map(service => ({
			name: service.name,
			connectionLimit: service.maxConnections,
			synchronousReplicas: service.syncReplicas,
		})),
		idleTransactionMs: limits.txIdleMs,
		...(customers && {customers: [...customers]}),
	};
}

/** Reads the entry of a customer. Each key is read by itself, so that an unusable one doesn't stop the others. */
function readTenant(stored: unknown): entries.Entry {
	const name = readName(stored);
	const keys = readKeys(stored);
	const keyDigests = [...new Set(keys.filter(key => isKey(key)).map(key => digestOf(key)))];
	const unusable = keys.filter(key => !isKey(key)).length;
	const {value, fault} = validation.check(validators.validateStoredTenant, stored);
	const invalid = fault === '' ? findFault(name, keyDigests) : fault;
	if (!value || invalid !== '') {
		return {
			name, customer: undefined, keyDigests, faults: [invalid],
		};
	}

	return {
		name,
		customer: {
			name, priority: value.priority, operationsPerS: value.perS, burst: value.burstSize, keyDigests,
		},
		keyDigests,
		faults: unusable > 0 ? [`${unusable} of its keys are empty, longer than ${directories.maxKeyBytes} bytes, not text, or contain white space`] : [],
	};
}

function findFault(name: string, keyDigests: readonly string[]): string {
	if (name === entries.reservedName) {
		return 'the name is reserved';
	}

	return keyDigests.length === 0 ? 'no usable key' : '';
}

function readName(stored: unknown): string {
	const name = typeof stored === 'object' && stored !== null && 'name' in stored ? stored.name : undefined;
	return typeof name === 'string' ? name : '';
}

function readKeys(stored: unknown): readonly unknown[] {
	const keys = typeof stored === 'object' && stored !== null && 'apiKeys' in stored ? stored.apiKeys : undefined;
	return Array.isArray(keys) ? keys : [];
}

function isKey(key: unknown): key is string {
	return typeof key === 'string' && /^\S+$/v.test(key) && buffer.Buffer.byteLength(key) <= directories.maxKeyBytes;
}

/** Digest of the key as callers send it: in bytes, of which the text has one for each ASCII character and several for others. */
function digestOf(key: string): string {
	return directories.digest(buffer.Buffer.from(key).toString('latin1'));
}

function toRegistration(id: string, stored: types.StoredServer): types.Registration {
	return {
		id,
		service: stored.service,
		address: stored.address,
		place: stored.zone,
		slots: stored.slots,
		state: stored.state === 'ready' ? 'ready' : 'leaving',
		role: stored.dbRole,
		startedAt: stored.born,
	};
}
