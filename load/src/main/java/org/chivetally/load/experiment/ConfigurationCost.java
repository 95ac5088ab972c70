package org.chivetally.load.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.chivetally.entry.link.Address;
import org.chivetally.entry.member.Member;
import org.chivetally.entry.member.MemberCapacity;
import org.chivetally.entry.member.MemberRecord;
import org.chivetally.entry.member.MemberRecords;
import org.chivetally.entry.member.MembershipEvent;
import org.chivetally.entry.member.MembershipSettings;
import org.chivetally.entry.member.MembershipView;
import org.chivetally.log.InMemoryLogSettings;
import org.chivetally.log.InMemoryPlatformLog;
import org.chivetally.log.LogRecord;
import org.chivetally.log.ReadOutcome;
import org.chivetally.resource.Change;
import org.chivetally.resource.ResourceKey;
import org.chivetally.resource.ResourceKind;
import org.chivetally.resource.ResourceService;
import org.chivetally.resource.ResourceSettings;
import org.chivetally.resource.ResourceTable;
import org.chivetally.resource.WriteOutcome;
import org.chivetally.resource.WriteRecord;
import org.chivetally.time.NanoClock;

/** Measures the cost of folding one record of a resource or of a member into a table of a given size. */
final class ConfigurationCost {
    private static final int CHANGES = 200;
    /** Number of identical tables that are filled, so that the size of one stands out from heap noise. */
    private static final int TABLE_COPIES = 50;

    private static final String SPEC = "{\"maximumRunning\":500,\"maximumQueued\":5000,\"weight\":%d}";

    private ConfigurationCost() {}

    /**
     * Measures folds of single-resource writes.
     *
     * @param resources number of resources in the table
     * @param repeats number of measurements, after one unmeasured warm-up
     */
    static Cost measureResources(ActorSystem<?> system, int resources, int repeats) throws Exception {
        InMemoryPlatformLog log = new InMemoryPlatformLog(system, NanoClock.system(), InMemoryLogSettings.immediate());
        ResourceService service =
                ResourceService.start(system, log, ResourceSettings.defaults("entry-1"), NanoClock.system());
        writeTeams(service, 0, resources);
        for (int change = 0; change < CHANGES; change++) {
            writeTeams(service, change, change + 1);
        }
        service.stop();
        List<LogRecord> records = records(log);
        List<LogRecord> initialRecords = records.subList(0, records.size() - CHANGES);
        List<LogRecord> changes = records.subList(records.size() - CHANGES, records.size());
        List<ResourceTable> tables = new ArrayList<>();
        long heapBefore = Heap.usedBytes();
        for (int copy = 0; copy < TABLE_COPIES; copy++) {
            tables.add(ResourceTable.empty().fold(initialRecords));
        }
        double heapBytes = (double) (Heap.usedBytes() - heapBefore) / resources / TABLE_COPIES;
        ResourceTable table = tables.getFirst();
        List<Double> micros = new ArrayList<>();
        for (int repeat = 0; repeat <= repeats; repeat++) {
            double microsPerFold = fold(table, changes);
            if (repeat > 0) {
                micros.add(microsPerFold);
            }
        }
        return new Cost(resources, Spread.of(micros), heapBytes);
    }

    /**
     * Measures folds of member announcements.
     *
     * @param members number of members in the table
     * @param repeats number of measurements, after one unmeasured warm-up
     */
    static Cost measureMembers(int members, int repeats) {
        List<byte[]> announcements = new ArrayList<>();
        for (int member = 0; member < members; member++) {
            announcements.add(MemberRecords.write(new MemberRecord.Announce(member(member))));
        }
        List<MembershipView> tables = new ArrayList<>();
        long heapBefore = Heap.usedBytes();
        for (int copy = 0; copy < TABLE_COPIES; copy++) {
            MembershipView filled =
                    new MembershipView(member(members), MembershipSettings.standard(Duration.ofMinutes(10)), 0);
            fold(filled, announcements);
            tables.add(filled);
        }
        double heapBytes = (double) (Heap.usedBytes() - heapBefore) / members / TABLE_COPIES;
        MembershipView table = tables.getFirst();
        List<Double> micros = new ArrayList<>();
        for (int repeat = 0; repeat <= repeats; repeat++) {
            double microsPerFold = fold(table, announcements);
            if (repeat > 0) {
                micros.add(microsPerFold);
            }
        }
        return new Cost(members, Spread.of(micros), heapBytes);
    }

    private static double fold(ResourceTable table, List<LogRecord> changes) {
        ThreadCpuTimer timer = new ThreadCpuTimer();
        ResourceTable current = table;
        timer.start();
        for (LogRecord change : changes) {
            current = current.fold(List.of(change));
        }
        timer.stop();
        return timer.microsPerOperationAndReset(changes.size());
    }

    private static double fold(MembershipView table, List<byte[]> announcements) {
        ThreadCpuTimer timer = new ThreadCpuTimer();
        timer.start();
        for (byte[] announcement : announcements) {
            MemberRecord record = MemberRecords.read(announcement).orElseThrow();
            table.handle(new MembershipEvent.RecordRead(record), 1);
        }
        timer.stop();
        return timer.microsPerOperationAndReset(announcements.size());
    }

    /**
     * Writes a range of teams in as few writes as the maximum number of changes per write allows.
     *
     * @param from number of the first team
     * @param until number after the last team
     */
    private static void writeTeams(ResourceService service, int from, int until) throws Exception {
        for (int first = from; first < until; first += WriteRecord.MAXIMUM_CHANGES) {
            List<Change> changes = new ArrayList<>();
            for (int team = first; team < Math.min(until, first + WriteRecord.MAXIMUM_CHANGES); team++) {
                ResourceKey key = new ResourceKey(ResourceKind.TEAM, "team-" + team);
                Change.Content content = Change.Content.of(Map.of("region", "north"), SPEC.formatted(1 + team % 900));
                changes.add(Change.put(key, 0, content).forced());
            }
            WriteOutcome outcome =
                    service.write(changes, "experiment").toCompletableFuture().get(30, TimeUnit.SECONDS);
            if (!(outcome instanceof WriteOutcome.Applied)) {
                throw new IllegalStateException("write was not applied: " + outcome);
            }
        }
    }

    private static List<LogRecord> records(InMemoryPlatformLog log) throws Exception {
        ReadOutcome outcome = log.read(WriteRecord.STREAM, 0, Integer.MAX_VALUE, Duration.ZERO)
                .toCompletableFuture()
                .get(30, TimeUnit.SECONDS);
        if (outcome instanceof ReadOutcome.Records records) {
            return records.records();
        }
        throw new IllegalStateException("log can't be read: " + outcome);
    }

    private static Member member(int number) {
        return new Member(
                "agent-" + number,
                "incarnation-" + number,
                Member.AGENT,
                new Address("10.0.0.1", 1 + number),
                "domain-" + number % 7,
                "service-" + number % 20,
                "minion-" + number,
                new MemberCapacity(8, 64, 64_000, 1L << 37, 2));
    }

    /**
     * Measured costs.
     *
     * @param size number of entries in the table
     * @param micros processor time of a fold in microseconds
     * @param heapBytes heap size of an entry in bytes
     */
    record Cost(int size, Spread micros, double heapBytes) {}
}
