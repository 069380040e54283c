#!/usr/bin/env node
/**
Two clients prepare statements whose shapes begin with the same word. One of the shapes has more than one word.
*/
import process from 'node:process';
import * as client from '../lib/client.js';
import * as clock from '../lib/clock.js';
import * as sites from '../lib/site.js';

const rounds = 20;

const site = new sites.Site(import.meta.dirname);
const shapes = {short: 'q1', long: site.hasTrouble ? 'q1 where open' : 'q2'};
/** What the clients asked for, by id: the shape and the parameters. */
const asked = new Map();
let exitCode = 2;

async function execute(session, id, {shape, parameters}) {
	asked.set(id, {shape, parameters});
	const answer = await session.query(id, `EXECUTE s1 ${parameters}`);
	const text = answer ? answer.error ?? `success, ${answer.signature}` : 'no answer';
	site.record.write(`client: ${id}, shape "${shape}", "EXECUTE s1 ${parameters}": ${text}`);
	return answer !== undefined && answer.error === undefined;
}

try {
	await site.start(1);
	site.group.onRun = ({id, text, shape, server}) => {
		site.record.write(`server ${server.id} runs ${id}: ${text}, shape "${shape}"`);
		const request = asked.get(id);
		if (shape !== request.shape || text !== `WRITE ${request.parameters}`) {
			site.violate(`PINNED: ${server.id} ran ${id} with shape "${shape}" and "${text}"; its client had prepared "${request.shape}" and sent "${request.parameters}"`);
		}
	};

	site.group.onUnknown = ({id, text, server}) => {
		site.violate(`PINNED: the name of "${text}" (${id}) is unknown at ${server.id}, though its preparing was acknowledged`);
	};

	await clock.sleep(1500);
	const [one, other] = [new client.Session(site.entries[0].front), new client.Session(site.entries[0].front)];
	await one.open('primary');
	await other.open('primary');
	const prepared = [await one.query('p1', `PREPARE s1 WRITE ${shapes.short}`), await other.query('p2', `PREPARE s1 WRITE ${shapes.long}`)];
	site.record.tell(`both PREPARE were ${prepared.every(answer => answer?.error === undefined) ? '' : 'not '}acknowledged`);
	let served = 0;
	for (let round = 0; round < rounds; round++) {
		served += Number(await execute(one, `one-${round}`, {shape: shapes.short, parameters: `${round} a`}));
		served += Number(await execute(other, `other-${round}`, {shape: shapes.long, parameters: `${round} b`}));
	}

	one.close();
	other.close();
	site.record.tell(`${served} of ${2 * rounds} writes were acknowledged`);
	exitCode = site.violations.length > 0 ? 1 : 0;
} catch (error) {
	site.record.tell(`the case could not run: ${error.stack}`);
} finally {
	site.close();
}

process.exit(exitCode);
