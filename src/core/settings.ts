/**
Parses and validates INI texts: the settings of a host and the operators' configuration.
*/
import * as net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import type * as ajv from 'ajv';
import * as ini from 'ini';
import * as inputs from '../generated/inputs.js';
import type * as types from '../generated/types.js';
import * as addresses from './address.js';
import * as errors from './errors.js';
import * as lines from './lines.js';

type Validator<T> = {(data: unknown): data is T; errors?: ajv.ErrorObject[] | null};

type Path = readonly string[];
type Issue = {readonly path: Path; readonly message: string};

/** Upper bound of all numbers: the longest delay in ms of a Node.js timer. A timer with a longer delay fires at once. */
const maxNumber = 2_147_483_647;
const maxPort = 65_535;
const namePattern = /^[a-z0-9\-]+$/v;

/**
Parses the settings of an entry host.

Errors: `settings`, with file, line, section and key of each issue.

@example
```
const outcome = settings.parseSettings(text, 'host.ini');
```
*/
export function parseSettings(text: string, file: string): errors.Outcome<types.Settings> {
	return parse(text, file, inputs.validateSettings, ({listen, platform, peers}) => [
		...Object.entries<string>({...listen}).flatMap(([key, value]) => checkAddress(['listen', key], value, 0)),
		...checkSeeds(peers),
		...(URL.canParse(platform.url) ? [] : [{path: ['platform', 'url'], message: 'is not a URL'}]),
	]);
}

/**
Parses the settings of an entry host on the users' platform.

Errors: `settings`, with file, line, section and key of each issue.

@example
```
const outcome = settings.parseEntrySettings(text, 'entry.ini');
```
*/
export function parseEntrySettings(text: string, file: string): errors.Outcome<types.EntrySettings> {
	return parse(text, file, inputs.validateEntrySettings, ({listen, endpoints, peers}) => [
		...checkSeeds(peers),
		...Object.entries<string>({...listen}).flatMap(([key, value]) => checkAddress(['listen', key], value, 0)),
		...Object.entries<string>({...endpoints}).flatMap(([key, value]) => checkAddress(['endpoints', key], value, 1)),
	]);
}

/**
Parses the configuration, and checks that each account refers to a service that exists.

Errors: `settings`, with file, line, section and key of each issue.

@example
```
const outcome = settings.parseConfiguration(text, 'site.ini');
```
*/
export function parseConfiguration(text: string, file: string): errors.Outcome<types.Configuration> {
	return parse(text, file, inputs.validateConfiguration, configuration => [
		...Object.entries(configuration.service).flatMap(([name, service]) => checkService(name, service)),
		...Object.entries(configuration.account)
			.filter(([, account]) => !Object.hasOwn(configuration.service, account.service))
			.map(([name, account]) => ({path: ['account', name, 'service'], message: `refers to unknown service "${account.service}"`})),
	]);
}

function checkSeeds({seeds}: types.Peers): Issue[] {
	return seeds.split(',').filter(seed => seed.trim() !== '').flatMap(seed => checkAddress(['peers', 'seeds'], seed.trim(), 1));
}

function checkService(name: string, service: types.Service): Issue[] {
	const serversByAddress = new Map<string, string>();
	const issues: Issue[] = namePattern.test(name) ? [] : [{path: ['service', name], message: 'does not consist of lowercase letters, digits and -'}];
	for (const [server, {address}] of Object.entries(service.server)) {
		const path = ['service', name, 'server', server, 'address'];
		const duplicate = serversByAddress.get(address);
		serversByAddress.set(address, server);
		issues.push(...checkAddress(path, address, 1), ...(duplicate === undefined ? [] : [{path, message: `is also the address of server "${duplicate}"`}]));
	}

	return issues;
}

function checkAddress(path: Path, text: string, minPort: number): Issue[] {
	const {host, port} = addresses.parse(text);
	return net.isIP(host) !== 0 && port >= minPort && port <= maxPort ? [] : [{path, message: `"${text}" is not an IP address and port`}];
}

/** Parses a text and validates it by the schema, and by `check` for rules that the schema can't express. */
function parse<T>(text: string, file: string, isValid: Validator<T>, check: (data: T) => Issue[]): errors.Outcome<T> {
	const layout = lines.parse(text);
	const format = (issue: Issue): string => formatIssue(layout.lines, file, issue);
	const reject = (issues: readonly string[]): errors.Outcome<never> => errors.fail('settings', 'configure', file, [...new Set(issues)].join('; '));
	if (layout.lines.length === 0) {
		return reject([`${file}:1: the file is empty`]);
	}

	if (layout.issues.length > 0) {
		return reject(layout.issues.map(issue => formatLine(file, issue, issue.message)));
	}

	const data = stringifyValues(ini.parse(lines.sortSections(text)));
	if (!isValid(data)) {
		return reject((isValid.errors ?? []).map(error => format(toIssue(error))));
	}

	const issues = [...checkNumbers(data, []), ...check(data)];
	return issues.length === 0 ? Either.right(data) : reject(issues.map(issue => format(issue)));
}

/**
Converts all values to strings. The library parses `true`, `false` and `null`, which the validator would coerce to the
numbers 1 and 0 or to an empty password.
*/
function stringifyValues(value: unknown): unknown {
	return typeof value === 'object' && value !== null
		? Object.fromEntries(Object.entries(value).map(([key, inner]) => [key, stringifyValues(inner)]))
		: String(value);
}

function checkNumbers(value: unknown, path: Path): Issue[] {
	if (typeof value === 'number' && value > maxNumber) {
		return [{path, message: `is more than ${maxNumber}`}];
	}

	return typeof value === 'object' && value !== null
		? Object.entries(value).flatMap(([key, inner]) => checkNumbers(inner, [...path, key]))
		: [];
}

function toIssue(error: ajv.ErrorObject): Issue {
	const path = error.instancePath.split('/').slice(1).map(part => part.replaceAll('~1', '/').replaceAll('~0', '~'));
	const parameters = error.params as {additionalProperty?: string; missingProperty?: string; allowedValues?: string[]};
	if (parameters.additionalProperty !== undefined) {
		return {path: [...path, parameters.additionalProperty], message: 'is not known'};
	}

	if (parameters.missingProperty !== undefined) {
		return {path: [...path, parameters.missingProperty], message: 'is missing'};
	}

	const allowed = parameters.allowedValues ? `: ${parameters.allowedValues.join(', ')}` : '';
	return {path, message: `${error.message ?? 'is invalid'}${allowed}`};
}

/**
Formats an issue with file, line, section and key. The line is that of the key or section, else that of the enclosing
section or its first inner section, else line 1.
*/
function formatIssue(entries: readonly lines.Line[], file: string, {path, message}: Issue): string {
	const section = path.slice(0, -1);
	const key = path.at(-1) ?? '';
	const exact = entries.find(line => isSamePath(line.section, section) && line.key === key)
		?? entries.find(line => isSamePath(line.section.slice(0, path.length), path));
	const enclosing = entries.findLast(line => line.key === undefined && isSamePath(line.section, section))
		?? entries.find(line => isSamePath(line.section.slice(0, section.length), section));
	return formatLine(file, {number: (exact ?? enclosing)?.number ?? 1, section, key}, message);
}

function formatLine(file: string, {number, section, key}: lines.Line, message: string): string {
	return `${file}:${number}: [${section.join('.')}] ${key === undefined ? '' : `${key} `}${message}`;
}

function isSamePath(left: Path, right: Path): boolean {
	return left.length === right.length && left.every((part, index) => part === right[index]);
}
