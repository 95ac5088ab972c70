package org.chivetally.resource;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.chivetally.errors.ErrorCode;

/**
 * Hands changes on to the watches of this process; used by one actor only.
 *
 * <p>Each watch has a bounded queue of references to shared events. One that does not keep up is ended when its queue
 * is full: an unbounded queue would fill the memory, and waiting for it would hold all others up. It can begin again
 * from the last version it saw, so nothing is lost.
 */
final class WatchHub {
    private final int maximum;
    private final List<Watch> watches = new ArrayList<>();

    WatchHub(int maximum) {
        this.maximum = maximum;
    }

    /** One watch: its queue, and the event that ends it once the queue is drained. */
    static final class Watch {
        private final Optional<ResourceKind> kind;
        private final BoundedSourceQueue<WatchEvent> queue;
        private final AtomicReference<WatchEvent.Ended> ended;
        private long told;

        /**
         * Creates a watch that has been told nothing new yet.
         *
         * @param told version up to which the client knows everything
         * @param ended where the last event is put
         */
        Watch(
                Optional<ResourceKind> kind,
                long told,
                BoundedSourceQueue<WatchEvent> queue,
                AtomicReference<WatchEvent.Ended> ended) {
            this.kind = kind;
            this.told = told;
            this.queue = queue;
            this.ended = ended;
        }

        private void end(ErrorCode code, String detail) {
            ended.set(new WatchEvent.Ended(code, detail));
            queue.complete();
        }

        /** Returns false when the watch is over. */
        private boolean offer(WatchEvent event) {
            QueueOfferResult result = queue.offer(event);
            if (result == QueueOfferResult.enqueued()) {
                return true;
            }
            if (result == QueueOfferResult.dropped()) {
                end(
                        ErrorCode.OVERLOADED,
                        "the watch is too slow; watch again from the last version seen, or list again");
            }
            return false;
        }

        private boolean tell(ResourceTable table) {
            if (table.version() <= told) {
                return !queue.isCompleted();
            }
            Optional<List<WatchEvent.Changed>> changes = table.changesAfter(told, kind);
            if (changes.isEmpty()) {
                end(ErrorCode.VERSION_TOO_OLD, "changes after version " + told + " are not kept; list again");
                return false;
            }
            for (WatchEvent.Changed change : changes.get()) {
                if (!offer(change)) {
                    return false;
                }
            }
            told = table.version();
            return true;
        }

        // A bookmark may be left out: the next one, or any change, says as much. So a full queue does not end the
        // watch.
        private boolean bookmark(ResourceTable table) {
            if (table.version() >= told) {
                queue.offer(new WatchEvent.Bookmark(table.version()));
            }
            return !queue.isCompleted();
        }
    }

    void add(Watch watch, ResourceTable table) {
        if (watches.size() >= maximum) {
            watch.end(ErrorCode.OVERLOADED, "this process has its " + maximum + " watches; try another one");
            return;
        }
        if (watch.tell(table) && watch.bookmark(table)) {
            watches.add(watch);
        }
    }

    void changed(ResourceTable table) {
        watches.removeIf(watch -> !watch.tell(table));
    }

    void bookmark(ResourceTable table) {
        watches.removeIf(watch -> !watch.bookmark(table));
    }

    void endAll(ErrorCode code, String detail) {
        Iterator<Watch> all = watches.iterator();
        while (all.hasNext()) {
            all.next().end(code, detail);
            all.remove();
        }
    }

    int count() {
        return watches.size();
    }
}
