/**
A child process of measurements: starts database groups of three stand-ins and sends their addresses to its parent.
*/
import process from 'node:process';
import * as group from '../standin/group.js';

const places = ['puget-a', 'willamette-a', 'inland-a'];

/** What the child sends: one list of ports for each group, the primary's first. */
export type Started = {readonly ports: ReadonlyArray<readonly number[]>};

async function start(count: number): Promise<Started> {
	const ports: number[][] = [];
	for (let index = 0; index < count; index++) {
		const started = await group.Group.start({places, schema: []});
		ports.push([...started.servers.values()].map(({port}) => port));
	}

	return {ports};
}

if (process.send) {
	process.send(await start(Number(process.argv[2])));
	process.once('disconnect', () => {
		process.exit();
	});
}
