/** Judges whether acknowledged writes are in the log of a server that was promoted. */
import * as scenes from './scene.js';

/** Number of lost writes that the record lists. */
const maxListed = 40;

/** Compares the log that the promoted server had with the writes that clients know to be made before that. */
export function compare(scene, writers, promotion) {
	const kept = new Set(promotion.log.flatMap(({ids}) => ids));
	const {acknowledged} = writers;
	const before = acknowledged.filter(({answeredAt}) => answeredAt <= promotion.at);
	const lost = before.filter(({id}) => !kept.has(id));
	const after = acknowledged.length - before.length;
	scene.note(`${before.length} writes acknowledged before the promotion, ${after} after it; ${lost.length} of the former are not in the log of ${promotion.server}`);
	for (const {id, sentAt, answeredAt} of lost.slice(-maxListed)) {
		scene.note(`lost: ${id}, sent ${promotion.at - sentAt} ms and acknowledged ${promotion.at - answeredAt} ms before the promotion`);
	}

	if (after === 0) {
		return scenes.notRun('no write was acknowledged after the promotion');
	}

	return lost.length > 0 ? scenes.broken(`${lost.length} acknowledged writes are not in the log of the server that was promoted`) : scenes.held();
}
