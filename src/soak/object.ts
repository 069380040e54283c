/**
Contents of the objects that the soak test and measurements write to the platform stand-in's store.
*/

/** A route and the service that it leads to. */
export type Route = {
	readonly database: string;
	readonly service: string;
	readonly type: 'primary' | 'bounded_staleness' | 'read_your_writes';
	readonly maxAgeMs: number;
	readonly timeoutMs: number;
	/** Whether sessions need no key. Only used with customers. */
	readonly isPublic?: boolean;
};

/** A configuration. Each service has `connections` on each of its servers. */
export type Configuration = {readonly version: number; readonly routes: readonly Route[]; readonly services: readonly string[]; readonly connections: number; readonly tenants?: readonly unknown[]};

/** A server as it registers itself. */
export type Registration = {
	readonly service: string;
	readonly address: string;
	readonly place: string;
	readonly slots: number;
	readonly state: 'ready' | 'draining';
	readonly role: 'primary' | 'replica';
	/** Start of the server, in ms. */
	readonly startedAt: number;
};

const targetLatencyMs = 500;
const idleTransactionMs = 2000;

/** Formats a configuration as the operators write it. */
export function formatConfiguration({version, routes, services, connections, tenants}: Configuration): unknown {
	return {
		version,
		routes: routes.map(({database, service, type, maxAgeMs, timeoutMs, isPublic}) => ({
			name: database, databaseName: database, type, timeoutMs, targetLatencyMs, priority: 1, service, ...(maxAgeMs > 0 ? {maxStalenessMs: maxAgeMs} : {}), ...(isPublic && {public: true}),
		})),
		services: services.map(name => ({name, maxConnections: connections, syncReplicas: 1})),
		limits: {txIdleMs: idleTransactionMs},
		...(tenants && {tenants}),
	};
}

/** Formats a registration as a server writes it. */
export function formatRegistration({service, address, place, slots, state, role, startedAt}: Registration): unknown {
	return {
		service, address, zone: place, version: '1', slots, state, coldRemainingMs: 0, sequence: 1, dbRole: role, born: startedAt,
	};
}
