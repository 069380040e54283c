/**
Runs the soak test for a range of seeds: `node dist/soak/main.js --seed 1 --count 50`.
*/
import * as fs from 'node:fs/promises';
import process from 'node:process';
import yargs from 'yargs';
import * as helpers from 'yargs/helpers';
import * as soak from './soak.js';

const kinds = ['mixed', 'restores', 'returns', 'stalls', 'overload', 'promotions', 'customers', 'routes'] as const;
const planText = 'Faults to draw: any; series with restores of the store from an older copy; series in which commits stall until a dark replica returns; '
	+ 'planned work on hosts that stall; planned work on hosts that share their cores with busy processes; '
	+ 'promotions in a row on saturated servers, with links that are cut and promotions that are late; '
	+ 'any faults and replaced keys in a deployment with customers; '
	+ 'or routes that move between groups, are removed and change their kind while replicas fall behind';

const {seed, count, seconds, plan, logs} = await yargs(helpers.hideBin(process.argv))
	.option('seed', {type: 'number', default: Date.now() % 1_000_000, describe: 'First seed; derived from the clock by default'})
	.option('count', {type: 'number', default: 1, describe: 'Number of consecutive seeds, run one after another'})
	.option('seconds', {type: 'number', default: 15, describe: 'Duration of fault injection for each seed, in s'})
	.option('plan', {choices: kinds, default: 'mixed' as const, describe: planText})
	.option('logs', {type: 'string', default: '', describe: 'Directory for the host logs of failed seeds'})
	.strict()
	.parse();

for (let next = seed; next < seed + count; next++) {
	const report = await soak.run(next, {faultsMs: seconds * 1000, plan});
	const {size, served, attempts, acknowledged, executions, violations, events} = report;
	const probes = `${report.probes} probes (${report.boundProbes} with a bound)`;
	const unanswered = `${report.unanswered} without an answer (${report.boundUnanswered} around planned work)`;
	const counts = `served ${served} of ${attempts}, ${report.promotions} promotions, ${acknowledged} writes, ${executions} statements, ${probes}, ${unanswered}`;
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
