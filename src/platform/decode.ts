/**
Decodes values from the platform's store into the project's types. Other processes write to the store too, so every value
is validated against the schema of its stored form.
*/
import * as validators from '../generated/stored.js';
import type * as types from '../generated/types.js';
import type * as objects from '../entry/objects.js';

/** A decoded value, or `undefined` and the reason why the stored value is invalid. */
export type Decoded<T> = {readonly value: T | undefined; readonly fault: string};

const routeKinds: Readonly<Record<types.StoredRoute['type'], types.RouteKind>> = {
	primary: 'primary', bounded_staleness: 'aged', read_your_writes: 'session',
};

/** Decoders by kind of object. */
export const decoders: {readonly [K in objects.Kind]: (name: string, value: unknown) => Decoded<objects.Values[K]>} = {
	configuration: (_name, value) => validators.validateStoredConfiguration(value)
		? {value: toDeployment(value), fault: ''}
		: describeErrors(validators.validateStoredConfiguration),
	servers: (name, value) => validators.validateStoredServer(value)
		? {value: toRegistration(name, value), fault: ''}
		: describeErrors(validators.validateStoredServer),
	hosts: (_name, value) => validators.validateAnnouncement(value) ? {value, fault: ''} : describeErrors(validators.validateAnnouncement),
	claims: (_name, value) => validators.validatePromotionClaim(value) ? {value, fault: ''} : describeErrors(validators.validatePromotionClaim),
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

function describeErrors({errors: issues}: {errors?: ReadonlyArray<{instancePath: string; message?: string}> | null}): Decoded<never> {
	const fault = (issues ?? []).map(({instancePath, message}) => `${instancePath === '' ? 'value' : instancePath} ${message ?? 'is invalid'}`).join('; ');
	return {value: undefined, fault};
}

