/**
`sycamorering inspect`: checks a configuration of the users' platform before it is sent.
*/
import process from 'node:process';
import * as Either from 'fp-ts/lib/Either.js';
import type * as yargs from 'yargs';
import * as errors from '../core/errors.js';
import type * as types from '../generated/types.js';
import * as inspection from '../operator/inspection.js';
import * as decode from '../platform/decode.js';
import * as exit from './exit.js';
import * as input from './input.js';

type Arguments = {file: string; current: string | undefined; strict: boolean; json: boolean};

/** A configuration, and the entries of it that can't be read. */
type Version = {readonly content: types.Deployment; readonly faults: readonly string[]};

export const command: yargs.CommandModule<unknown, Arguments> = {
	command: 'inspect <file>',
	describe: 'Check a configuration of the platform before it is sent, and show what it changes',
	builder: parser => parser
		.positional('file', {type: 'string', demandOption: true, describe: 'JSON file, as it would be sent'})
		.option('current', {type: 'string', describe: 'JSON file with the version in force, to compare with'})
		.option('strict', {type: 'boolean', default: false, describe: 'Fail on warnings as well'})
		.option('json', {type: 'boolean', default: false, describe: 'Print JSON for scripts'})
		.example('$0 inspect next.json --current main.json', 'Check a version and compare it with the one in force'),
	handler: run,
};

async function run({file, current: currentFile, strict, json}: Arguments): Promise<void> {
	const next = await readVersion(file);
	const current = currentFile === undefined ? Either.right(undefined) : await readVersion(currentFile);
	if (Either.isLeft(next) || Either.isLeft(current)) {
		exit.report(Either.isLeft(next) ? next.left : (current as Either.Left<errors.Failure>).left, json);
		return;
	}

	const {content, faults} = next.right;
	const findings: inspection.Finding[] = [
		...faults.map(message => ({severity: 'error' as const, entry: 'configuration', message})),
		...inspection.findProblems(content, current.right?.content),
	];
	const differences = current.right ? inspection.compare(current.right.content, content) : [];
	print({
		file, version: content.version, findings, differences,
	}, json);
	if (findings.some(({severity}) => strict || severity === 'error')) {
		process.exitCode = exit.codes.failure;
	}
}

type Report = {readonly file: string; readonly version: number; readonly findings: readonly inspection.Finding[]; readonly differences: readonly inspection.Difference[]};

function print(report: Report, isJson: boolean): void {
	if (isJson) {
		console.log(JSON.stringify(report));
		return;
	}

	const {file, version, findings, differences} = report;
	for (const {severity, entry, message} of findings) {
		console.log(`${severity}: ${entry}: ${message}`);
	}

	for (const difference of differences) {
		console.log(inspection.describe(difference));
	}

	const count = (severity: inspection.Severity): number => findings.filter(finding => finding.severity === severity).length;
	console.log(`${file}: version ${version}, ${count('error')} errors, ${count('warning')} warnings, ${differences.length} differences`);
}

/** Reads a configuration. Errors: `settings`, which names the file, if it isn't JSON or can't be read as a configuration. */
async function readVersion(file: string): Promise<errors.Outcome<Version>> {
	const text = await input.read(file);
	if (Either.isLeft(text)) {
		return text;
	}

	const parsed = Either.tryCatch((): unknown => JSON.parse(text.right), String);
	if (Either.isLeft(parsed)) {
		return errors.fail('settings', 'start', file, `${file}: ${parsed.left}`);
	}

	const {value, fault, omitted = []} = decode.decodeConfiguration(parsed.right);
	return value
		? Either.right({content: value, faults: omitted})
		: errors.fail('settings', 'start', file, `${file}: ${fault}`);
}
