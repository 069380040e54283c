/**
INI texts, checked against the schema: the settings of a host and the operators' configuration.
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
type Fault = {readonly path: Path; readonly message: string};

/** Longest time that a timer of Node.js takes; it would fire at once after a longer one. */
const largestNumber = 2_147_483_647;
const portLimit = 65_535;
const namePattern = /^[a-z0-9\-]+$/v;

/**
Reads the settings of an entry host.

Errors: `settings`, with file, line, section and key of each fault.

@example
```
const outcome = settings.parseSettings(text, 'host.ini');
```
*/
export function parseSettings(text: string, file: string): errors.Outcome<types.Settings> {
	return parse(text, file, inputs.validateSettings, ({listen, platform, peers}) => [
		...Object.entries<string>({...listen}).flatMap(([key, value]) => judgeAddress(['listen', key], value, 0)),
		...judgeSeeds(peers),
		...(URL.canParse(platform.url) ? [] : [{path: ['platform', 'url'], message: 'is not a URL'}]),
	]);
}

/**
Reads the settings of an entry host on the users' platform.

Errors: `settings`, with file, line, section and key of each fault.

@example
```
const outcome = settings.parseEntrySettings(text, 'entry.ini');
```
*/
export function parseEntrySettings(text: string, file: string): errors.Outcome<types.EntrySettings> {
	return parse(text, file, inputs.validateEntrySettings, ({listen, endpoints, peers}) => [
		...judgeSeeds(peers),
		...Object.entries<string>({...listen}).flatMap(([key, value]) => judgeAddress(['listen', key], value, 0)),
		...Object.entries<string>({...endpoints}).flatMap(([key, value]) => judgeAddress(['endpoints', key], value, 1)),
	]);
}

/**
Reads the configuration and checks that accounts name services that exist.

Errors: `settings`, with file, line, section and key of each fault.

@example
```
const outcome = settings.parseConfiguration(text, 'site.ini');
```
*/
export function parseConfiguration(text: string, file: string): errors.Outcome<types.Configuration> {
	return parse(text, file, inputs.validateConfiguration, configuration => [
		...Object.entries(configuration.service).flatMap(([name, service]) => judgeService(name, service)),
		...Object.entries(configuration.account)
			.filter(([, account]) => !Object.hasOwn(configuration.service, account.service))
			.map(([name, account]) => ({path: ['account', name, 'service'], message: `names no service "${account.service}"`})),
	]);
}

function judgeSeeds({seeds}: types.Peers): Fault[] {
	return seeds.split(',').filter(seed => seed.trim() !== '').flatMap(seed => judgeAddress(['peers', 'seeds'], seed.trim(), 1));
}

function judgeService(name: string, service: types.Service): Fault[] {
	const known = new Map<string, string>();
	const faults: Fault[] = namePattern.test(name) ? [] : [{path: ['service', name], message: 'is not a name of small letters, digits and -'}];
	for (const [server, {address}] of Object.entries(service.server)) {
		const path = ['service', name, 'server', server, 'address'];
		const other = known.get(address);
		known.set(address, server);
		faults.push(...judgeAddress(path, address, 1), ...(other === undefined ? [] : [{path, message: `is also the address of server "${other}"`}]));
	}

	return faults;
}

function judgeAddress(path: Path, text: string, lowestPort: number): Fault[] {
	const {host, port} = addresses.parse(text);
	return net.isIP(host) !== 0 && port >= lowestPort && port <= portLimit ? [] : [{path, message: `"${text}" is not an IP address and port`}];
}

/** Reads a text, and judges what the schema can't say by `judge`. */
function parse<T>(text: string, file: string, isValid: Validator<T>, judge: (data: T) => Fault[]): errors.Outcome<T> {
	const layout = lines.read(text);
	const describe = (fault: Fault): string => locate(layout.lines, file, fault);
	const refuse = (faults: readonly string[]): errors.Outcome<never> => errors.fail('settings', 'configure', file, [...new Set(faults)].join('; '));
	if (layout.lines.length === 0) {
		return refuse([`${file}:1: the file is empty`]);
	}

	if (layout.faults.length > 0) {
		return refuse(layout.faults.map(fault => place(file, fault, fault.message)));
	}

	const data = plain(ini.parse(lines.order(text)));
	if (!isValid(data)) {
		return refuse((isValid.errors ?? []).map(error => describe(explain(error))));
	}

	const faults = [...judgeNumbers(data, []), ...judge(data)];
	return faults.length === 0 ? Either.right(data) : refuse(faults.map(fault => describe(fault)));
}

/**
The parsed text with strings as its only values. The library reads `true`, `false` and `null` as such, which the
validator would then turn into the numbers 1 and 0 or an empty password.
*/
function plain(value: unknown): unknown {
	return typeof value === 'object' && value !== null
		? Object.fromEntries(Object.entries(value).map(([key, inner]) => [key, plain(inner)]))
		: String(value);
}

function judgeNumbers(value: unknown, path: Path): Fault[] {
	if (typeof value === 'number' && value > largestNumber) {
		return [{path, message: `is more than ${largestNumber}`}];
	}

	return typeof value === 'object' && value !== null
		? Object.entries(value).flatMap(([key, inner]) => judgeNumbers(inner, [...path, key]))
		: [];
}

function explain(error: ajv.ErrorObject): Fault {
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
Names the line, section and key of a fault: the line of its key or section, else that of the nearest section around
it, else line 1.
*/
function locate(found: readonly lines.Line[], file: string, {path, message}: Fault): string {
	const section = path.slice(0, -1);
	const key = path.at(-1) ?? '';
	const own = found.find(line => isSame(line.section, section) && line.key === key)
		?? found.find(line => isSame(line.section.slice(0, path.length), path));
	const around = found.findLast(line => line.key === undefined && isSame(line.section, section))
		?? found.find(line => isSame(line.section.slice(0, section.length), section));
	return place(file, {number: (own ?? around)?.number ?? 1, section, key}, message);
}

function place(file: string, {number, section, key}: lines.Line, message: string): string {
	return `${file}:${number}: [${section.join('.')}] ${key === undefined ? '' : `${key} `}${message}`;
}

function isSame(left: Path, right: Path): boolean {
	return left.length === right.length && left.every((part, index) => part === right[index]);
}
