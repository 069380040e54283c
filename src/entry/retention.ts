/**
What a host's cache keeps when the store was restored from a copy. The copy is older than the cache: what it lacks may be
lost rather than removed, until its writer has written it again.
*/
import type * as objects from './objects.js';

/** Decides for each known object of a kind. */
export abstract class Retention<K extends objects.Kind> {
	/** Whether the cache keeps `known`. `restored` is the object of that name in the restored store, if there is one. */
	abstract isKept(known: objects.Item<K>, restored: objects.Item<K> | undefined): boolean;
}

/** For objects whose writers write them again at once, or whose absence has to be known. */
export class Nothing<K extends objects.Kind> extends Retention<K> {
	override isKept(): boolean {
		return false;
	}
}

/** Announcements of hosts: a host that is missing in the copy announces itself again, and open links to it stay in use. */
export class Missing extends Retention<'hosts'> {
	override isKept(_known: objects.Item<'hosts'>, restored: objects.Item<'hosts'> | undefined): boolean {
		return restored === undefined;
	}
}

/** Configurations: a lower version is one that the operators have replaced since. */
export class Newest extends Retention<'configuration'> {
	override isKept({value}: objects.Item<'configuration'>, restored: objects.Item<'configuration'> | undefined): boolean {
		return value !== undefined && (restored?.value === undefined || restored.value.version < value.version);
	}
}
