/**
Runs the soak test for a range of seeds: `node dist/soak/main.js --seed 1 --count 50`.
*/
import * as fs from 'node:fs/promises';
import process from 'node:process';
import yargs from 'yargs';
import * as helpers from 'yargs/helpers';
import * as soak from './soak.js';

const {seed, count, seconds, plan, logs} = await yargs(helpers.hideBin(process.argv))
	.option('seed', {type: 'number', default: Date.now() % 1_000_000, describe: 'First seed; derived from the clock by default'})
	.option('count', {type: 'number', default: 1, describe: 'Number of consecutive seeds, run one after another'})
	.option('seconds', {type: 'number', default: 15, describe: 'Duration of fault injection for each seed, in s'})
	.option('plan', {choices: ['mixed', 'restores', 'returns'] as const, default: 'mixed' as const, describe: 'Faults to draw: any, series with restores of the store from an older copy, or series in which commits stall until a dark replica returns'})
	.option('logs', {type: 'string', default: '', describe: 'Directory for the host logs of failed seeds'})
	.strict()
	.parse();

for (let next = seed; next < seed + count; next++) {
	const report = await soak.run(next, {faultsMs: seconds * 1000, plan});
	const {size, served, attempts, acknowledged, executions, probes, boundProbes, violations, events} = report;
	const counts = `served ${served} of ${attempts}, ${acknowledged} writes, ${executions} statements, ${probes} probes (${boundProbes} with a bound)`;
	console.log(`seed ${next}: ${size.hosts} hosts, ${size.groups} groups, ${size.connections} connections; ${counts}; ${violations.length === 0 ? 'held' : `BROKEN ${violations.length}`}`);
	if (violations.length > 0) {
		process.exitCode = 1;
		console.log([...events, ...violations.slice(0, 20)].map(line => `  ${line}`).join('\n'));
		if (logs !== '') {
			await fs.mkdir(logs, {recursive: true});
			await fs.writeFile(`${logs}/seed-${next}.log`, [...report.logs.values()].flat().join('\n'));
		}
	}
}
