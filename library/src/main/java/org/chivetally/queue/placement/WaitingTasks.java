package org.chivetally.queue.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.chivetally.queue.Task;

/**
 * Tasks that wait for room, by service, in the order in which they are placed: by the queue's priority, then the oldest
 * job first, and tasks of one job together, as a job is worth nothing until its last task ends.
 *
 * <p>Jobs that can't end before their limit come after all others, whatever their priority: under a burst they would
 * take the room of jobs that still can, and so make those late in turn.
 */
public final class WaitingTasks {
    private static final Comparator<Entry> ORDER = Comparator.comparing(Entry::hopeless)
            .thenComparing(Entry::priority)
            .thenComparing(entry -> entry.task().job().acceptedAtNanos())
            .thenComparing(entry -> entry.task().job().specification().id())
            .thenComparing(entry -> entry.task().place());

    private final Map<String, NavigableSet<Entry>> byService = new HashMap<>();
    private final Map<Task, Entry> entries = new HashMap<>();

    /** Adds a task that may be placed. */
    public void add(Task task, long nowNanos) {
        remove(task);
        Entry entry = new Entry(
                task, task.job().specification().terms().priority(), task.job().isHopeless(nowNanos));
        entries.put(task, entry);
        byService.computeIfAbsent(service(task), name -> new TreeSet<>(ORDER)).add(entry);
    }

    /** Removes a task; nothing happens when it doesn't wait. */
    public void remove(Task task) {
        Entry entry = entries.remove(task);
        if (entry != null) {
            byService.get(service(task)).remove(entry);
        }
    }

    /** Moves the jobs behind the others that have become hopeless since the last look. */
    public void refresh(long nowNanos) {
        for (Entry entry : List.copyOf(entries.values())) {
            if (!entry.hopeless() && entry.task().job().isHopeless(nowNanos)) {
                add(entry.task(), nowNanos);
            }
        }
    }

    /** Returns the services that have waiting tasks. */
    public Collection<String> services() {
        return List.copyOf(byService.keySet());
    }

    /** Returns the first tasks of a service, in order. */
    public List<Task> first(String service, int most) {
        List<Task> tasks = new ArrayList<>();
        for (Entry entry : byService.getOrDefault(service, new TreeSet<>(ORDER))) {
            if (tasks.size() == most) {
                break;
            }
            tasks.add(entry.task());
        }
        return tasks;
    }

    /** Returns the number of waiting tasks. */
    public int size() {
        return entries.size();
    }

    /** Returns the estimated processor milliseconds that are placed before a new job of the given priority. */
    public long workAhead(String service, int priority) {
        long work = 0;
        for (Entry entry : byService.getOrDefault(service, new TreeSet<>(ORDER))) {
            if (entry.hopeless() || entry.priority() > priority) {
                break;
            }
            work += entry.task().room().processorMillis() * entry.task().step().estimatedMillis() / 1000;
        }
        return work;
    }

    private static String service(Task task) {
        return task.job().specification().terms().service();
    }

    /** A waiting task with what its place in the order depends on, which may not change while it is in the set. */
    private record Entry(Task task, int priority, boolean hopeless) {}
}
