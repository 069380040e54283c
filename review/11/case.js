/**
A session writes to a service. Successive versions of the configuration remove its route, add it with another service,
remove it and add it as it was, all within the staleness bound; the session also writes at the other service. Then it reads
what it wrote first.
*/
import * as path from 'node:path';
import process from 'node:process';
import {Client} from '../lib-3/client.js';
import {run, sleep} from '../lib-3/site.js';

const isTroubled = process.env.TROUBLE !== '0';
const route = {databaseName: 'lepu270', type: 'read_your_writes', maxStalenessMs: 2500};
const usualLagMs = 20;
/** During a round, the replicas of the first service apply what they receive this much later. */
const appliedAfterMs = 1900;
/** Time between two versions. */
const gapMs = 330;

await run(path.join(import.meta.dirname, 'record.txt'), async site => {
	const first = await site.addGroup('ledgers1', ['willamette-a', 'puget-a', 'puget-a']);
	await site.addGroup('ledgers2', ['willamette-a', 'puget-a', 'puget-a']);
	const setLag = ms => {
		for (const server of first.servers) {
			server.lagMs = ms;
		}
	};

	site.configure([{...route, service: 'ledgers1'}]);
	const host = await site.addHost('puget-a');
	const client = new Client(host.address);
	await client.startUp(route.databaseName);
	const ask = async (id, text) => {
		const reply = await client.query(id, text);
		site.note(`${id} ${text}: ${reply.code || reply.signature} ${reply.rows.join(' ')}`);
		return reply;
	};

	for (let index = 0; index < 30; index++) {
		await client.query(`w${index}`, 'READ warm');
		await sleep(100);
	}

	let broken = 0;
	for (let round = 0; round < 5; round++) {
		setLag(appliedAfterMs);
		const written = await ask(`a${round}`, `WRITE item${round} value${round}`);
		if (written.code !== '') {
			setLag(usualLagMs);
			continue;
		}

		if (isTroubled) {
			site.configure([]);
			await sleep(gapMs);
			site.configure([{...route, service: 'ledgers2'}]);
			await sleep(gapMs);
			await ask(`b${round}`, `WRITE other${round} value${round}`);
			site.configure([]);
			await sleep(gapMs);
			site.configure([{...route, service: 'ledgers1'}]);
			await sleep(gapMs);
		} else {
			await sleep(4 * gapMs);
		}

		const read = await ask(`c${round}`, `READ item${round}`);
		setLag(usualLagMs);
		const ran = first.runs.findLast(({id}) => id === `c${round}`);
		site.note(`c${round} ran at ${ran?.server} in ${ran?.service}, whose log ended at ${ran?.position}`);
		if (read.code === '' && read.rows[0] !== `value${round}`) {
			broken++;
			site.note(`STALE: the session does not see its own commit a${round}`);
		}

		await sleep(2500);
	}

	return broken > 0;
});
