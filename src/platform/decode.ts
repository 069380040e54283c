/**
Reads the platform's stored values into the project's types. Other writers may have stored anything, so every field is
checked, by schemas of the stored forms.
*/
import * as validators from '../generated/stored.js';
import type * as types from '../generated/types.js';
import type * as objects from '../entry/objects.js';

/** A value, or why there is none. */
export type Decoded<T> = {readonly value: T | undefined; readonly fault: string};

const routeKinds: Readonly<Record<types.StoredRoute['type'], types.RouteKind>> = {
	primary: 'primary', bounded_staleness: 'aged', read_your_writes: 'session',
};

/** Readers by kind of object. */
export const readers: {readonly [K in objects.Kind]: (name: string, value: unknown) => Decoded<objects.Values[K]>} = {
	configuration: (_name, value) => validators.validateStoredConfiguration(value)
		? {value: toDeployment(value), fault: ''}
		: explain(validators.validateStoredConfiguration),
	servers: (name, value) => validators.validateStoredServer(value)
		? {value: toRegistration(name, value), fault: ''}
		: explain(validators.validateStoredServer),
	hosts: (_name, value) => validators.validateAnnouncement(value) ? {value, fault: ''} : explain(validators.validateAnnouncement),
	claims: (_name, value) => validators.validatePromotionClaim(value) ? {value, fault: ''} : explain(validators.validatePromotionClaim),
};

function toDeployment({version, routes, services, limits}: types.StoredConfiguration): types.Deployment {
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
		})),
		databases: services.map(service => ({
			name: service.name,
			connectionLimit: service.maxConnections,
			synchronousReplicas: service.syncReplicas,
		})),
		idleTransactionMs: limits.txIdleMs,
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
		startedAt: stored.born ?? 0,
	};
}

function explain({errors: faults}: {errors?: ReadonlyArray<{instancePath: string; message?: string}> | null}): Decoded<never> {
	const fault = (faults ?? []).map(({instancePath, message}) => `${instancePath === '' ? 'value' : instancePath} ${message ?? 'is invalid'}`).join('; ');
	return {value: undefined, fault};
}

