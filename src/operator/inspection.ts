/**
Inspects a deployment's configuration before operators send it: errors, entries that can never match, limits that
contradict each other, and the differences from the version in force.
*/
import type * as types from '../generated/types.js';

/** `error`: the configuration must not be sent. `warning`: it has an effect that its author can hardly want. */
export type Severity = 'error' | 'warning';

/** One finding. `entry` names the part of the configuration, such as `route ledger`. */
export type Finding = {readonly severity: Severity; readonly entry: string; readonly message: string};

/** One difference from the version in force. Keys of customers are counted, never shown. */
export type Difference = {
	readonly kind: 'added' | 'removed' | 'changed';
	readonly entry: string;
	/** What has changed, as `field: before -> after`; empty for entries that are added or removed. */
	readonly fields: readonly string[];
};

/** Fewer connections leave none for probes and orders of a failover beside a statement. */
const minConnections = 2;

/**
Finds errors, entries that can never match and limits that contradict each other.

@example
```
inspection.findProblems(next, current).filter(({severity}) => severity === 'error');
```
*/
export function findProblems(next: types.Deployment, current?: types.Deployment): Finding[] {
	return [
		...checkVersion(next, current),
		...checkNames('route', next.routes.map(({name}) => name)),
		...checkNames('service', next.databases.map(({name}) => name)),
		...next.routes.flatMap((route, index) => checkRoute(route, next, next.routes.slice(index + 1))),
		...next.databases.flatMap(database => checkDatabase(database, next)),
		...(next.customers ?? []).flatMap(customer => checkCustomer(customer)),
		...checkCustomers(next, current),
	];
}

/**
The differences between two versions, sorted by entry.

@example
```
inspection.compare(current, next).map(({kind, entry}) => `${kind} ${entry}`);
```
*/
export function compare(current: types.Deployment, next: types.Deployment): Difference[] {
	const [before, after] = [toEntries(current), toEntries(next)];
	const entries = [...new Set([...before.keys(), ...after.keys()])].toSorted();
	return entries.flatMap(entry => compareEntry(entry, before.get(entry), after.get(entry)));
}

/**
Formats a difference as a line of text: `+` added, `-` removed, `~` changed.

@example
```
inspection.describe({kind: 'changed', entry: 'route ledger', fields: ['targetMs: 300 -> 400']}); //=> '~ route ledger: targetMs: 300 -> 400'
```
*/
export function describe({kind, entry, fields}: Difference): string {
	const signs = {added: '+', removed: '-', changed: '~'} as const;
	return `${signs[kind]} ${entry}${fields.length > 0 ? `: ${fields.join(', ')}` : ''}`;
}

function error(entry: string, message: string): Finding {
	return {severity: 'error', entry, message};
}

function warning(entry: string, message: string): Finding {
	return {severity: 'warning', entry, message};
}

function checkVersion({version}: types.Deployment, current: types.Deployment | undefined): Finding[] {
	return current && version <= current.version
		? [error('version', `${version} is not above ${current.version}, which is in force, so hosts would ignore it`)]
		: [];
}

function checkNames(kind: string, names: readonly string[]): Finding[] {
	const duplicates = names.filter((name, index) => names.indexOf(name) < index);
	return [...new Set(duplicates)].map(name => error(`${kind} ${name}`, 'the name is used more than once'));
}

function checkRoute(route: types.Route, {databases, idleTransactionMs}: types.Deployment, later: readonly types.Route[]): Finding[] {
	const entry = `route ${route.name}`;
	const findings: Finding[] = [];
	if (!databases.some(({name}) => name === route.service)) {
		findings.push(error(entry, `the service ${route.service} doesn't exist`));
	}

	const shadowing = later.find(({database}) => database === route.database);
	if (shadowing) {
		findings.push(error(entry, `never matches: route ${shadowing.name} has the same database name and comes later`));
	}

	if (route.statementTimeoutMs <= 0 || route.targetMs <= 0) {
		findings.push(error(entry, 'the timeout and the latency objective must be above 0'));
	} else if (route.statementTimeoutMs < route.targetMs) {
		findings.push(warning(entry, `the statement timeout of ${route.statementTimeoutMs} ms is below the latency objective of ${route.targetMs} ms`));
	}

	if (idleTransactionMs < route.statementTimeoutMs) {
		findings.push(warning(entry, `the idle timeout of transactions, ${idleTransactionMs} ms, is below the statement timeout of ${route.statementTimeoutMs} ms`));
	}

	if (route.kind === 'aged' && route.maximumAgeMs <= 0) {
		findings.push(warning(entry, 'reads may be stale, but the maximum age is 0, so replicas rarely qualify'));
	}

	if (route.kind === 'primary' && route.maximumAgeMs > 0) {
		findings.push(warning(entry, 'the maximum age has no effect on a route to the primary'));
	}

	return findings;
}

/** The routes that can match: of several with the same database name, the last one. */
function effectiveRoutes(routes: readonly types.Route[]): types.Route[] {
	return [...new Map(routes.map(route => [route.database, route])).values()];
}

function checkDatabase({name, connectionLimit, synchronousReplicas}: types.Database, {routes}: types.Deployment): Finding[] {
	const entry = `service ${name}`;
	return [
		...(effectiveRoutes(routes).some(({service}) => service === name) ? [] : [warning(entry, 'no route leads to it')]),
		...(connectionLimit < minConnections ? [error(entry, `${connectionLimit} connections are too few; failovers need ${minConnections}`)] : []),
		...(synchronousReplicas < 0 ? [error(entry, 'the number of synchronous replicas is negative')] : []),
		...(synchronousReplicas === 0 ? [warning(entry, 'no replica has to receive a commit, so a failover may lose acknowledged commits')] : []),
	];
}

function checkCustomer({name, operationsPerS, burst, keyDigests}: types.Customer): Finding[] {
	const entry = `customer ${name}`;
	const quota: Finding[] = [];
	if (operationsPerS <= 0 || burst <= 0) {
		quota.push(error(entry, 'the quota must be above 0'));
	} else if (burst < 1) {
		quota.push(error(entry, `a burst of ${burst} never admits an operation`));
	}

	return [...quota, ...(keyDigests.length === 0 ? [error(entry, 'has no key')] : [])];
}

/** Checks that depend on several customers, or on whether there are any. */
function checkCustomers({customers, routes}: types.Deployment, current: types.Deployment | undefined): Finding[] {
	if (!customers) {
		return current?.customers ? [error('customers', 'the version in force has customers, and this one has none')] : [];
	}

	const holders = new Map<string, Set<string>>();
	for (const {name, keyDigests} of customers) {
		for (const keyDigest of keyDigests) {
			holders.set(keyDigest, (holders.get(keyDigest) ?? new Set<string>()).add(name));
		}
	}

	return [
		...checkNames('customer', customers.map(({name}) => name)),
		...[...holders.values()].filter(({size}) => size > 1).map(names => error(`customer ${[...names].join(', ')}`, 'share a key, which then serves none of them')),
		...(customers.length > 0 && routes.length > 0 && routes.every(({isPublic}) => isPublic) ? [warning('customers', 'every route is public, so no key is ever needed')] : []),
	];
}

type Entry = ReadonlyMap<string, string>;

function toEntries({routes, databases, customers = [], idleTransactionMs}: types.Deployment): ReadonlyMap<string, Entry> {
	return new Map<string, Entry>([
		...routes.map(route => [`route ${route.name}`, toFields(route)] as const),
		...databases.map(database => [`service ${database.name}`, toFields(database)] as const),
		...customers.map(customer => [`customer ${customer.name}`, toFields(customer)] as const),
		['limits', toFields({idleTransactionMs})],
	]);
}

function toFields(value: object): Entry {
	return new Map(Object.entries(value as Readonly<Record<string, unknown>>).map(([name, field]) => [name, Array.isArray(field) ? field.map(String).toSorted((one, other) => one < other ? -1 : 1).join(' ') : String(field)]));
}

function compareEntry(entry: string, before: Entry | undefined, after: Entry | undefined): Difference[] {
	if (!before || !after) {
		return [{kind: before ? 'removed' : 'added', entry, fields: []}];
	}

	const names = [...new Set([...before.keys(), ...after.keys()])];
	const fields = names.filter(name => before.get(name) !== after.get(name)).map(name => describeField(name, before.get(name) ?? '', after.get(name) ?? ''));
	return fields.length > 0 ? [{kind: 'changed', entry, fields}] : [];
}

function describeField(name: string, before: string, after: string): string {
	if (name !== 'keyDigests') {
		return `${name}: ${before} -> ${after}`;
	}

	const [old, present] = [before, after].map(text => new Set(text.split(' ').filter(Boolean)));
	const added = [...present].filter(key => !old.has(key)).length;
	const removed = [...old].filter(key => !present.has(key)).length;
	return `keys: ${added} added, ${removed} removed`;
}
