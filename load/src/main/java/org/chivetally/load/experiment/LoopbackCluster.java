package org.chivetally.load.experiment;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.chivetally.agent.AgentLimits;
import org.chivetally.agent.AgentServer;
import org.chivetally.agent.AgentSettings;
import org.chivetally.agent.MemberAnnouncer;
import org.chivetally.agent.MinionCapacity;
import org.chivetally.agent.MinionStateSource;
import org.chivetally.claim.ClaimSettings;
import org.chivetally.coordination.DispatchSettings;
import org.chivetally.entry.EntryLimits;
import org.chivetally.entry.EntryServer;
import org.chivetally.entry.EntrySettings;
import org.chivetally.entry.link.Address;
import org.chivetally.entry.link.HeartbeatSettings;
import org.chivetally.entry.link.ObservedProcess;
import org.chivetally.entry.member.Member;
import org.chivetally.log.InMemoryLogSettings;
import org.chivetally.log.InMemoryPlatformLog;
import org.chivetally.standins.MinionStandIn;
import org.chivetally.standins.MinionStandInSettings;
import org.chivetally.time.NanoClock;
import org.chivetally.transport.FrameTransport;

/**
 * Entries and agents in this JVM that communicate over loopback. The frames of entries and of agents are counted
 * separately.
 */
final class LoopbackCluster implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int SLOTS_PER_AGENT = 8;
    private static final int FAILURE_DOMAINS = 3;
    private static final String FRAMES = "chivetally.transport.frames";
    private static final String BYTES = "chivetally.transport.bytes";

    private final ActorSystem<?> system;
    private final NanoClock clock = NanoClock.system();
    private final InMemoryPlatformLog log;
    private final MeterRegistry entryMeters = new SimpleMeterRegistry();
    private final MeterRegistry agentMeters = new SimpleMeterRegistry();
    private final FrameTransport entryTransport = new FrameTransport(entryMeters);
    private final FrameTransport agentTransport = new FrameTransport(agentMeters);
    private final List<EntryServer> entries = new ArrayList<>();
    private final List<AgentServer> agents = new ArrayList<>();
    private final List<MemberAnnouncer> announcers = new ArrayList<>();
    private final ServerBinding minion;
    private final HttpClient client = HttpClient.newHttpClient();

    /** Starts all entries and agents, and waits until each entry has connected to each agent. */
    LoopbackCluster(ActorSystem<?> system, int entryCount, int agentCount) {
        this.system = system;
        this.log = new InMemoryPlatformLog(system, clock, InMemoryLogSettings.immediate());
        MinionStandInSettings settings =
                new MinionStandInSettings("minion", SLOTS_PER_AGENT * agentCount, 64 * agentCount);
        this.minion = join(MinionStandIn.start(system, HOST, 0, settings));
        IntStream.range(0, agentCount).forEach(this::startAgent);
        IntStream.range(0, entryCount).forEach(this::startEntry);
        entries.forEach(this::awaitAgents);
    }

    /** Returns the frames and bytes counted on both sides. Keys have the form {@code side/direction/kind of frame}. */
    Map<String, FrameCount> counts() {
        Map<String, FrameCount> counts = new TreeMap<>();
        addCounts(counts, "entries", entryMeters);
        addCounts(counts, "agents", agentMeters);
        return counts;
    }

    /**
     * Submits jobs of five tasks of 200 ms each at a rate that keeps half of all slots busy, and waits for their
     * answers.
     */
    void submitLoad(Duration duration) throws InterruptedException {
        double jobsPerSecond = agents.size() * SLOTS_PER_AGENT * 0.5 / 0.2 / 5;
        long beginNanos = clock.nanos();
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (long sentCount = 0; clock.nanos() - beginNanos < duration.toNanos(); sentCount++) {
            answers.add(submit((int) (sentCount % entries.size())));
            long dueNanos = beginNanos + (long) ((sentCount + 1) / jobsPerSecond * 1e9);
            Thread.sleep(Duration.ofNanos(Math.max(0, dueNanos - clock.nanos())));
        }
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            if (answer.join().statusCode() != 200) {
                throw new IllegalStateException("a job failed: " + answer.join().body());
            }
        }
    }

    @Override
    public void close() {
        entries.forEach(entry -> join(entry.drain("measured")));
        announcers.forEach(announcer -> join(announcer.leave()));
        agents.forEach(agent -> agent.drain("measured"));
        agentTransport.close();
        entryTransport.close();
        client.close();
        join(minion.terminate(Duration.ofSeconds(1)));
    }

    private CompletableFuture<HttpResponse<String>> submit(int entry) {
        String tasks = IntStream.range(0, 5)
                .mapToObj(task -> "{\"payload\":{\"workMillis\":200}}")
                .collect(Collectors.joining(","));
        String body = "{\"service\":\"routing\",\"tasks\":[" + tasks + "]}";
        URI uri = URI.create(
                "http://" + HOST + ":" + entries.get(entry).httpAddress().getPort() + "/v1/jobs?wait=60");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private void startAgent(int number) {
        AgentLimits limits = AgentLimits.forSlots(SLOTS_PER_AGENT);
        AgentSettings settings = new AgentSettings(
                "agent-" + number,
                "domain-" + number % FAILURE_DOMAINS,
                HOST,
                0,
                HOST,
                0,
                "routing",
                "minion-" + number,
                new MinionCapacity(SLOTS_PER_AGENT, 64, 0, 0, 0),
                URI.create("http://" + HOST + ":" + minion.localAddress().getPort()),
                new MinionStateSource.Native(),
                limits);
        AgentServer agent = join(AgentServer.start(system, settings, agentTransport, agentMeters, clock));
        agents.add(agent);
        announcers.add(new MemberAnnouncer(system, log, agent.member(), MemberAnnouncer.DEFAULT_INTERVAL));
    }

    private void startEntry(int number) {
        Address loopback = new Address(HOST, 0);
        EntrySettings settings = new EntrySettings(
                "entry-" + number,
                "domain-" + number % FAILURE_DOMAINS,
                loopback,
                loopback,
                loopback,
                List.of(),
                ClaimSettings.defaults(Duration.ofMinutes(10), Duration.ofHours(1)),
                DispatchSettings.defaults("domain-" + number % FAILURE_DOMAINS),
                HeartbeatSettings.standard(),
                new EntryLimits(1 << 20, 10_000, 10_000, 1 << 26, Duration.ZERO, Duration.ofSeconds(30)));
        entries.add(join(EntryServer.start(system, settings, log, entryTransport, entryMeters, clock)));
    }

    private void awaitAgents(EntryServer entry) {
        while (reachableAgents(entry) < agents.size()) {
            Thread.onSpinWait();
        }
    }

    private static long reachableAgents(EntryServer entry) {
        return entry.processes().stream()
                .filter(process -> process.hello().getRole().equals(Member.AGENT))
                .filter(ObservedProcess::reachable)
                .count();
    }

    private static void addCounts(Map<String, FrameCount> counts, String side, MeterRegistry meters) {
        for (Meter meter : meters.getMeters()) {
            String name = meter.getId().getName();
            if (meter instanceof Counter counter && (name.equals(FRAMES) || name.equals(BYTES))) {
                String key = side + "/" + meter.getId().getTag("direction") + "/"
                        + meter.getId().getTag("body");
                FrameCount increment =
                        name.equals(FRAMES) ? new FrameCount(counter.count(), 0) : new FrameCount(0, counter.count());
                counts.merge(key, increment, FrameCount::plus);
            }
        }
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    /**
     * A number of frames, or a rate per second.
     *
     * @param frames number of frames
     * @param bytes size of these frames in bytes
     */
    record FrameCount(double frames, double bytes) {
        FrameCount plus(FrameCount other) {
            return new FrameCount(frames + other.frames, bytes + other.bytes);
        }

        FrameCount minus(FrameCount other) {
            return new FrameCount(frames - other.frames, bytes - other.bytes);
        }

        FrameCount dividedBy(double divisor) {
            return new FrameCount(frames / divisor, bytes / divisor);
        }
    }
}
