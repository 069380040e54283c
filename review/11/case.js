/**
A session writes to a service. Successive versions of the configuration remove its route, add it with another service,
remove it and add it as it was, all within the staleness bound; the session also writes at the other service. Then it reads
what it wrote first. This happens three times, within one series of versions and one time of lag. With `TROUBLE=0` neither
the configuration changes nor do replicas fall behind; with `TROUBLE=lag` only the replicas do.
*/
import * as path from 'node:path';
import process from 'node:process';
import {Client} from '../lib-3/client.js';
import {run, sleep} from '../lib-3/site.js';

const trouble = {0: 'none', lag: 'lag'}[process.env.TROUBLE] ?? 'both';
const route = {databaseName: 'lepu270', type: 'read_your_writes', maxStalenessMs: 2500};
/** While versions change, the replicas of the first service apply what they receive this much later. */
const appliedAfterMs = 1900;
/** Time between two versions. */
const gapMs = 330;
/** Number of rounds: twelve versions. */
const roundCount = 3;

await run(path.join(import.meta.dirname, 'record.txt'), async site => {
	const first = await site.addGroup('ledgers1', ['willamette-a', 'puget-a', 'puget-a']);
	await site.addGroup('ledgers2', ['willamette-a', 'puget-a', 'puget-a']);
	site.configure([{...route, service: 'ledgers1'}]);
	const host = await site.addHost('puget-a');
	const client = new Client(host.address);
	await client.startUp(route.databaseName);
	const ask = async (id, text) => {
		const reply = await client.query(id, text);
		site.note(`${id} ${text}: ${reply.code || reply.signature} ${reply.rows.join(' ')}`);
		return reply;
	};

	const change = async routes => {
		if (trouble === 'both') {
			site.configure(routes);
		}

		await sleep(gapMs);
	};

	for (let index = 0; index < 30; index++) {
		await client.query(`w${index}`, 'READ warm');
		await sleep(100);
	}

	if (trouble !== 'none') {
		site.note('replicas of ledgers1 fall behind');
		for (const server of first.servers) {
			server.lagMs = appliedAfterMs;
		}
	}

	let broken = 0;
	for (let round = 0; round < roundCount; round++) {
		const written = await ask(`a${round}`, `WRITE item${round} value${round}`);
		await change([]);
		await change([{...route, service: 'ledgers2'}]);
		await ask(`b${round}`, `WRITE other${round} value${round}`);
		await change([]);
		await change([{...route, service: 'ledgers1'}]);
		const read = await ask(`c${round}`, `READ item${round}`);
		const ran = first.runs.findLast(({id}) => id === `c${round}`);
		site.note(`c${round} ran at ${ran?.server} in ${ran?.service}, whose log ended at ${ran?.position}`);
		if (written.code === '' && read.code === '' && read.rows[0] !== `value${round}`) {
			broken++;
			site.note(`STALE: the session does not see its own commit a${round}`);
		}
	}

	site.note(`the end of the lag; ${broken} of ${roundCount} rounds were stale`);
	return broken > 0;
});
