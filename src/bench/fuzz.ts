/**
Runs random cases for a given time: `node dist/bench/fuzz.js --seconds N [--seed S]`. Prints the seed, each failed case
with the command that repeats it, and the counts.
*/
import process from 'node:process';
import yargs from 'yargs';
import * as random from '../core/random.js';
import * as cases from './cases.js';

const {seconds, seed, tasks} = await yargs(process.argv.slice(2))
	.option('seconds', {type: 'number', default: 60, describe: 'Time in s during which cases are started'})
	.option('seed', {type: 'number', default: new random.System().integer(1, 1_000_000_000), describe: 'Seed of the first case; random by default'})
	.option('tasks', {type: 'number', default: 4, describe: 'Number of concurrent cases'})
	.strict()
	.parseAsync();
const end = performance.now() + (seconds * 1000);
const tally: cases.Tally = {reads: 0, writes: 0, outcomes: {}};
let count = 0;
let failed = 0;
console.log(`seed ${seed}`);
/** Runs cases one after another. Several of these tasks run concurrently, since a case spends most of its time waiting. */
async function run(): Promise<void> {
	while (performance.now() < end) {
		const caseSeed = seed + count;
		count++;
		const result = await cases.check(caseSeed, tally);
		if (result !== '') {
			failed++;
			console.log(`case failed; repeat: node dist/bench/fuzz.js --seconds 1 --tasks 1 --seed ${caseSeed}\n${result}`);
		}
	}
}

await Promise.all(Array.from({length: tasks}, async () => run()));
console.log(`${count} cases, ${failed} failed, ${tally.reads} reads answered, ${tally.writes} writes: ${JSON.stringify(tally.outcomes)}`);
process.exitCode = failed === 0 ? 0 : 1;
