/**
Prints configurations as INI text. Equal data gives identical text.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as errors from '../core/errors.js';
import * as settings from '../core/settings.js';
import * as inputs from '../generated/inputs.js';
import type * as types from '../generated/types.js';
import type * as declaration from './declaration.js';

/** A section and its values, in the order in which they are printed. */
export type Section = {readonly name: string; readonly values: ReadonlyMap<string, string>};

type Scalar = string | number | boolean;

const unquotedPattern = /^[A-Za-z0-9_.:\/\-]+$/v;
const defaults = readDefaults();

/**
Prints declarations as INI text. Sections and keys are sorted by name. Values that equal their defaults are omitted.

Errors: `settings`, for declarations that entry hosts would reject.

@example
```
const site = new declaration.Site();
site.service('ledgers').server('a', {address: '10.0.0.1:3306', place: 'puget-a'});
const outcome = print.print(site.data);
//=> right('[service.ledgers]\n\n[service.ledgers.server.a]\naddress = 10.0.0.1:3306\nplace = puget-a\n')
```
*/
export function print(data: declaration.Data): errors.Outcome<string> {
	const text = sections(data)
		.map(({name, values}) => [`[${name}]`, ...[...values].map(([key, value]) => `${key} = ${quote(value)}`), ''].join('\n'))
		.join('\n');
	return Either.map(() => text)(settings.parseConfiguration(text, 'declarations'));
}

/**
Returns the sections of a configuration, sorted by name, without values that equal their defaults.

@example
```
for (const {name, values} of print.sections(configuration)) {
	console.log(name, values.size);
}
```
*/
export function sections(data: declaration.Data | types.Configuration): Section[] {
	const services = Object.entries(data.service).flatMap(([name, {server, class: classes, ...content}]) => [
		toSection(`service.${name}`, content, defaults.service),
		...Object.entries(server).map(([key, value]) => toSection(`service.${name}.server.${key}`, value, defaults.server)),
		...Object.entries(classes).map(([key, value]) => toSection(`service.${name}.class.${key}`, value, defaults.class)),
	]);
	const accounts = Object.entries(data.account).map(([name, content]) => toSection(`account.${name}`, {...content}, {}));
	return [...services, ...accounts].toSorted((left, right) => compare(left.name, right.name));
}

function toSection(name: string, content: Record<string, Scalar | undefined>, defaultValues: Readonly<Record<string, unknown>>): Section {
	const values = Object.entries(content)
		.flatMap(([key, value]) => value === undefined || value === defaultValues[key] ? [] : [[key, String(value)] as const])
		.toSorted(([left], [right]) => compare(left, right));
	return {name, values: new Map(values)};
}

/** Compares by code units, since the order of a locale may differ between machines. */
function compare(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}

function quote(value: string): string {
	return unquotedPattern.test(value) ? value : JSON.stringify(value);
}

/** Reads the defaults of the schema, which its validator adds to a minimal configuration. */
function readDefaults(): {service: Record<string, unknown>; server: Record<string, unknown>; class: Record<string, unknown>} {
	const minimal: unknown = {service: {s: {server: {a: {address: '127.0.0.1:1', place: 'p'}}, class: {c: {kind: 'read'}}}}, account: {}};
	const filled = inputs.validateConfiguration(minimal) ? minimal.service.s : undefined;
	const server: Record<string, unknown> = {...filled?.server.a};
	const requestClass: Record<string, unknown> = {...filled?.class.c};
	delete server.address;
	delete server.place;
	delete requestClass.kind;
	return {service: {...filled}, server, class: requestClass};
}
