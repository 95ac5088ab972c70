package org.chivetally.resource;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.stream.javadsl.Source;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.ServicePolicies;
import org.chivetally.job.ServicePolicy;
import org.chivetally.job.TeamPolicy;
import org.chivetally.log.PlatformLog;
import org.chivetally.time.NanoClock;

/**
 * The resources as one entry has them: reads, writes, watches and snapshots.
 *
 * <p>All methods are safe from any thread and none blocks; stages never complete exceptionally. Reads answer from
 * memory, also while the log is down; {@link #age()} tells how old they may be.
 */
public final class ResourceService implements ServicePolicies {
    private final ActorSystem<?> system;
    private final ResourceSettings settings;
    private final NanoClock clock;
    private final AtomicReference<ResourceView> view;
    private final ActorRef<ResourceCommand> actor;

    private ResourceService(
            ActorSystem<?> system,
            ResourceSettings settings,
            NanoClock clock,
            AtomicReference<ResourceView> view,
            ActorRef<ResourceCommand> actor) {
        this.system = system;
        this.settings = settings;
        this.clock = clock;
        this.view = view;
        this.actor = actor;
    }

    /** Starts reading the log. */
    public static ResourceService start(
            ActorSystem<?> system, PlatformLog log, ResourceSettings settings, NanoClock clock) {
        ResourceView first = new ResourceView(ResourceTable.empty(), DeclaredPolicies.none(), clock.nanos(), false);
        AtomicReference<ResourceView> view = new AtomicReference<>(first);
        ActorRef<ResourceCommand> actor = system.systemActorOf(
                ResourceActor.create(log, settings, clock, view::set), "resources-" + UUID.randomUUID(), Props.empty());
        return new ResourceService(system, settings, clock, view, actor);
    }

    /** Returns the newest table of this process. */
    public ResourceTable table() {
        return view.get().table();
    }

    /** Returns the typed specs of the newest table. */
    public DeclaredPolicies policies() {
        return view.get().policies();
    }

    @Override
    public ServicePolicy service(String name) {
        return policies().service(name);
    }

    @Override
    public TeamPolicy team(String name) {
        return policies().team(name);
    }

    /** Returns the version in force here, for heartbeats. */
    public long version() {
        return table().version();
    }

    /** Returns the time since this process last read the log's end, or since its start when it never did. */
    public Duration age() {
        return Duration.ofNanos(Math.max(0, clock.nanos() - view.get().endReadNanos()));
    }

    /** Tells whether the log's end was read, or a peer's or the log's snapshot was taken, since the start. */
    public boolean isUsable() {
        return view.get().usable();
    }

    /** Returns a resource. */
    public Optional<Resource> get(ResourceKey key) {
        return table().find(key);
    }

    /** Returns the resources of a kind that carry all of these labels, by name. */
    public List<Resource> list(ResourceKind kind, Map<String, String> labels) {
        return table().list(kind, labels);
    }

    /** Creates a resource, or replaces the given version of it; see {@link Change#put}. */
    public CompletionStage<WriteOutcome> put(ResourceKey key, long basedOn, Change.Content content, String changedBy) {
        return write(List.of(Change.put(key, basedOn, content)), changedBy);
    }

    /** Deletes the given version of a resource. */
    public CompletionStage<WriteOutcome> delete(ResourceKey key, long basedOn, String changedBy) {
        return write(List.of(Change.delete(key, basedOn)), changedBy);
    }

    /** Makes changes that take effect all together or not at all. */
    public CompletionStage<WriteOutcome> write(List<Change> changes, String changedBy) {
        return write(UUID.randomUUID().toString(), changes, changedBy);
    }

    /**
     * Makes changes under an id of the caller's; a second write of the same id takes effect no second time and is
     * answered like the first.
     */
    public CompletionStage<WriteOutcome> write(String id, List<Change> changes, String changedBy) {
        String at = Instant.now().truncatedTo(ChronoUnit.MILLIS).toString();
        WriteRecord record = new WriteRecord(id, changes, changedBy, at);
        CompletableFuture<WriteOutcome> answer = new CompletableFuture<>();
        actor.tell(new ResourceCommand.Submit(record, answer));
        // Without a limit of its own a caller would wait for ever if the actor were stopped before it took the message.
        WriteOutcome none = new WriteOutcome.InDoubt(id, "the process gave no answer");
        Cancellable limit = system.scheduler()
                .scheduleOnce(
                        settings.writeTimeout().multipliedBy(2),
                        () -> answer.complete(none),
                        system.executionContext());
        answer.whenComplete((outcome, failure) -> limit.cancel());
        return answer;
    }

    /** Returns what is known of a write. */
    public CompletionStage<WriteStatus> writeStatus(String id) {
        CompletableFuture<WriteStatus> answer = new CompletableFuture<>();
        actor.tell(new ResourceCommand.StatusOf(id, answer));
        return answer;
    }

    /**
     * Watches changes.
     *
     * @param kind only of this kind, or of all
     * @param from version after which every change is told; empty begins now
     */
    public WatchAnswer watch(Optional<ResourceKind> kind, OptionalLong from) {
        ResourceTable table = table();
        long told = from.orElse(table.version());
        if (told < table.earliestWatch()) {
            return new WatchAnswer.Refused(
                    ErrorCode.VERSION_TOO_OLD,
                    "changes after version " + told + " are not kept, those after " + table.earliestWatch()
                            + " are; list again and watch from the list's version");
        }
        return new WatchAnswer.Started(
                Source.lazySource(() -> newWatch(kind, told)).mapMaterializedValue(ignored -> NotUsed.getInstance()));
    }

    private Source<WatchEvent, NotUsed> newWatch(Optional<ResourceKind> kind, long told) {
        AtomicReference<WatchEvent.Ended> ended = new AtomicReference<>();
        // What a watch begins with is put into its queue at once, so the queue holds that besides the settings' buffer.
        int buffer = settings.watchBuffer() + ResourceTable.REMEMBERED_CHANGES + 1;
        Source<WatchEvent, NotUsed> events = Source.<WatchEvent>queue(buffer).mapMaterializedValue(queue -> {
            actor.tell(new ResourceCommand.Begin(new WatchHub.Watch(kind, told, queue, ended)));
            return NotUsed.getInstance();
        });
        return events.concatLazy(Source.lazySource(() -> lastEvent(ended)));
    }

    private static Source<WatchEvent, NotUsed> lastEvent(AtomicReference<WatchEvent.Ended> ended) {
        WatchEvent.Ended last = ended.get();
        return last == null ? Source.empty() : Source.single(last);
    }

    /** Returns a snapshot for a peer that has an older version than this process; empty when it has not. */
    public Optional<byte[]> snapshot(long haveVersion) {
        return wholeSnapshot(haveVersion).map(ConfigurationSnapshot::content);
    }

    /** Returns the same with its version. */
    public Optional<ConfigurationSnapshot> wholeSnapshot(long haveVersion) {
        ResourceTable table = table();
        if (table.version() <= haveVersion) {
            return Optional.empty();
        }
        byte[] content = SnapshotCodec.encode(table, System.currentTimeMillis());
        return Optional.of(new ConfigurationSnapshot(table.version(), content));
    }

    /** Returns a snapshot of what an agent uses: its service, its backend server, and all routing configurations. */
    public ConfigurationSnapshot agentSnapshot(String service, String backendServer) {
        ResourceTable table = table();
        Set<ResourceKey> keys = new TreeSet<>();
        addKey(keys, ResourceKind.SERVICE, service);
        addKey(keys, ResourceKind.BACKEND_SERVER, backendServer);
        for (Resource routing : table.list(ResourceKind.ROUTING, Map.of())) {
            keys.add(routing.key());
        }
        return new ConfigurationSnapshot(
                table.version(), SnapshotCodec.encodeExcerpt(table, keys, System.currentTimeMillis()));
    }

    private static void addKey(Set<ResourceKey> keys, ResourceKind kind, String name) {
        if (ResourceKey.isName(name)) {
            keys.add(new ResourceKey(kind, name));
        }
    }

    /** Takes a peer's snapshot if it is whole and newer than what this process has; tells whether it did. */
    public CompletionStage<Boolean> offerSnapshot(long version, byte[] snapshot) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        actor.tell(new ResourceCommand.Offer(version, snapshot, answer));
        return answer;
    }

    /** Tells a listener of the newest table now and after each change, in order; it must not block. */
    public void onChange(Consumer<ResourceTable> listener) {
        actor.tell(new ResourceCommand.Listen(listener));
    }

    /** Ends all watches and stops reading. */
    public void stop() {
        actor.tell(new ResourceCommand.Stop());
    }
}
