/**
INI texts, checked against the schema: the settings of a host and the operators' configuration.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as ajv from 'ajv';
import * as ini from 'ini';
import * as inputs from '../generated/inputs.js';
import type * as types from '../generated/types.js';
import * as errors from './errors.js';

type Validator<T> = {(data: unknown): data is T; errors?: ajv.ErrorObject[] | null};

/**
Reads the settings of an entry host.

Errors: `settings`, with file, line, section and key of each fault.

@example
```
const outcome = settings.parseSettings(text, 'host.ini');
```
*/
export function parseSettings(text: string, file: string): errors.Outcome<types.Settings> {
	return parse(text, file, inputs.validateSettings);
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
	const outcome = parse(text, file, inputs.validateConfiguration);
	if (Either.isLeft(outcome)) {
		return outcome;
	}

	const faults = Object.entries(outcome.right.account)
		.filter(([, account]) => !(account.service in outcome.right.service))
		.map(([name, account]) => locate(text, file, ['account', name, 'service'], `names no service "${account.service}"`));
	return faults.length === 0 ? outcome : errors.fail('settings', 'configure', file, faults.join('; '));
}

function parse<T>(text: string, file: string, isValid: Validator<T>): errors.Outcome<T> {
	const data = structuredClone(ini.parse(text)) as unknown;
	if (isValid(data)) {
		return Either.right(data);
	}

	const faults = (isValid.errors ?? []).map(error => describe(text, file, error));
	return errors.fail('settings', 'configure', file, [...new Set(faults)].join('; '));
}

function describe(text: string, file: string, error: ajv.ErrorObject): string {
	const path = error.instancePath.split('/').slice(1);
	const parameters = error.params as {additionalProperty?: string; missingProperty?: string; allowedValues?: string[]};
	if (parameters.additionalProperty !== undefined) {
		return locate(text, file, [...path, parameters.additionalProperty], 'is not known');
	}

	if (parameters.missingProperty !== undefined) {
		return locate(text, file, [...path, parameters.missingProperty], 'is missing');
	}

	const allowed = parameters.allowedValues ? `: ${parameters.allowedValues.join(', ')}` : '';
	return locate(text, file, path, `${error.message ?? 'is invalid'}${allowed}`);
}

/** Names the line, section and key that a path stands for. Line 0 means that the text holds no such line. */
function locate(text: string, file: string, path: readonly string[], message: string): string {
	const key = path.at(-1) ?? '';
	const section = path.slice(0, -1).join('.');
	const lines = text.split('\n').map(line => line.trim());
	const wholeSection = lines.indexOf(`[${path.join('.')}]`);
	const start = lines.indexOf(`[${section}]`);
	const offset = lines.slice(start + 1).findIndex(line => line.startsWith('[') || line.split('=')[0]?.trim() === key);
	const isKey = offset !== -1 && !lines[start + 1 + offset]?.startsWith('[');
	const line = wholeSection === -1 ? start + 1 + (isKey ? offset + 1 : 0) : wholeSection + 1;
	return `${file}:${line}: [${section}] ${key} ${message}`;
}
