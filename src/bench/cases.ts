/**
Random cases of the fuzzing workload, for the tests and for `fuzz.js`.
*/
import * as fc from 'fast-check';
import * as workload from '../standin/workload.js';

const session = fc.nat(3);
const host = fc.nat(2);
const server = fc.constantFrom('a', 'b', 'c');

/** Delay before the logs are checked a second time, for late effects of requests that were reported as not run. */
const lateCheckDelayMs = 2000;

const fault: fc.Arbitrary<workload.Fault> = fc.oneof(
	fc.record({kind: fc.constantFrom('silence', 'silence', 'cut', 'refuse', 'accept', 'accept'), host, server}),
	fc.record({
		kind: fc.constant('cut-after'), host, server, direction: fc.constantFrom('toFar', 'toNear'), bytes: fc.nat(600),
	}),
	fc.record({
		kind: fc.constant('delay'), host, server, ms: fc.constantFrom(0, 0, 20, 150),
	}),
	fc.record({kind: fc.constant('lag'), server, ms: fc.constantFrom(0, 20, 100, 400)}),
	fc.record({kind: fc.constant('service'), server, ms: fc.constantFrom(0, 0, 30, 120)}),
);

/** Generates command sequences with about as many faults as requests of each kind. */
const commands = fc.noBias(fc.commands([
	fc.tuple(session, fc.constantFrom('strict', 'session', 'aged'), fc.constantFrom(50, 100, 500, 2000)).map(([index, freshness, ageMs]) => new workload.Read(index, freshness, ageMs)),
	fc.tuple(session, fc.constantFrom('strict', 'session', 'aged'), fc.constantFrom(50, 100, 200)).map(([index, freshness, ageMs]) => new workload.Read(index, freshness, ageMs)),
	fc.tuple(session, fc.constantFrom('none', 'new', 'used'), fc.boolean()).map(([index, requestIdUse, isIdempotent]) => new workload.Write(index, requestIdUse, isIdempotent)),
	fc.tuple(session, fc.constantFrom('none', 'new', 'used')).map(([index, requestIdUse]) => new workload.Write(index, requestIdUse, false)),
	fc.tuple(session, fc.integer({min: 1, max: 3}), fc.constantFrom('commit', 'commit', 'rollback', 'vanish')).map(([index, statements, end]) => new workload.Transaction(index, statements, end)),
	fc.tuple(session, host, fc.boolean()).map(([index, hostIndex, keepsPosition]) => new workload.SwitchHost(index, hostIndex, keepsPosition)),
	fc.array(fault, {minLength: 1, maxLength: 1}).map(faults => new workload.Faults(faults)),
	fc.tuple(fault, fault).map(faults => new workload.Faults(faults)),
	fc.boolean().map(isolatesOld => new workload.ReplacePrimary(isolatesOld)),
	fc.constantFrom(20, 60).map(ms => new workload.Pause(ms)),
	fc.constantFrom(5, 30, 100, 300).map(ms => new workload.Pause(ms)),
], {maxCommands: 60, size: 'max'}));

/** Numbers of answered reads, of writes, and of writes by outcome. */
export type Tally = {reads: number; writes: number; outcomes: Record<string, number>};

/**
Runs the case of a seed. Returns the violations that the oracle found and the commands of the case; an empty string if
there are no violations.

@example
```
const tally = {reads: 0, writes: 0, outcomes: {}};
assert.equal(await cases.check(7, tally), '');
```
*/
export async function check(seed: number, tally: Tally): Promise<string> {
	const property = fc.asyncProperty(commands, async list => runCase(list, tally));
	const {failed, errorInstance, counterexample} = await fc.check(property, {seed, numRuns: 1, endOnFailure: true});
	return failed ? `${errorInstance instanceof Error ? errorInstance.message : String(errorInstance)}\n${(counterexample ?? []).map(list => [...list].join('; ')).join('')}` : '';
}

async function runCase(list: Iterable<fc.AsyncCommand<workload.Model, workload.Site>>, tally: Tally): Promise<void> {
	const site = await workload.Site.start();
	try {
		await fc.asyncModelRun(() => ({model: {ids: 0, replacements: 0}, real: site}), list);
		await site.settle();
		throwViolations(site.check());
		await site.pause(lateCheckDelayMs);
		throwViolations(site.check());
		tally.reads += site.reads.length;
		tally.writes += site.writes.length;
		for (const {outcome} of site.writes) {
			tally.outcomes[outcome] = (tally.outcomes[outcome] ?? 0) + 1;
		}
	} finally {
		await site.stop();
	}
}

function throwViolations(violations: readonly string[]): void {
	if (violations.length > 0) {
		throw new Error(violations.slice(0, 5).join('\n'));
	}
}
