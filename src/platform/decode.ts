/**
Decodes values from the platform's store into the project's types. Other processes write to the store too, so every value
is validated against the schema of its stored form.
*/
import * as validators from '../generated/stored.js';
import type * as types from '../generated/types.js';
import type * as objects from '../entry/objects.js';
import * as directories from '../entry/customers/directory.js';
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
	return {value: value && toDeployment(value), fault};
}

function toDeployment({version, routes, services, limits, tenants}: types.StoredConfiguration): types.Deployment {
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
			...(tenants && {isPublic: route.public}),
		})),
		databases: services.map(service => ({
			name: service.name,
			connectionLimit: service.maxConnections,
			synchronousReplicas: service.syncReplicas,
		})),
		idleTransactionMs: limits.txIdleMs,
		...(tenants && {customers: tenants.flatMap(tenant => toCustomer(tenant) ?? [])}),
	};
}

/** A customer; `undefined` if its entry is invalid. */
function toCustomer(stored: unknown): types.Customer | undefined {
	const {value} = validation.check(validators.validateStoredTenant, stored);
	return value && {
		name: value.name,
		priority: value.priority,
		operationsPerS: value.perS,
		burst: value.burstSize,
		keyDigests: value.apiKeys.map(key => directories.digest(key)),
	};
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
