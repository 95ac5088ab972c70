import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** The platform's store as its page describes it: a log with keyed topics, and a group that shares partitions out. */
final class TrialStore implements AutoCloseable {
    private static final int REMEMBERED_ANSWERS = 5;
    private static final int PAGE_ITEMS = 500;

    /** Time of an append, and of an answer. */
    private static final long ANSWER_MILLIS = 4;

    private final List<TrialServer> servers = new ArrayList<>();
    private final Set<String> rejected = ConcurrentHashMap.newKeySet();
    private final int partitionCount;
    private final Map<String, Partition> partitions = new HashMap<>();
    private final TreeMap<String, Member> members = new TreeMap<>();
    private final String[] holders;
    private final String[] designated;
    private String jobTopic = "";
    private long generation = 1;

    private static final class Partition {
        private final List<byte[]> records = new ArrayList<>();
        private final TreeMap<String, byte[]> newest = new TreeMap<>();
        private final Map<String, Producer> producers = new HashMap<>();
    }

    private static final class Producer {
        private long epoch = -1;
        private long lastSequence = -1;
        private boolean started;
        private final TreeMap<Long, ObjectNode> answers = new TreeMap<>();
    }

    private static final class Member {
        private long joinedNanos;
        private long timeToLiveNanos;
    }

    TrialStore(int partitionCount) {
        this.partitionCount = partitionCount;
        this.holders = new String[partitionCount];
        this.designated = new String[partitionCount];
    }

    /** Opens an address for one machine, so that the store can turn that machine away, and returns its port. */
    int open(String machine) throws IOException {
        int port = TrialServer.freePort();
        servers.add(new TrialServer(port, (exchange, body) -> {
            if (rejected.contains(machine)) {
                TrialServer.answer(exchange, 503, new byte[0]);
            } else {
                handle(exchange, body);
            }
        }));
        return port;
    }

    /** Answers all calls of a machine with 503, or serves it again. */
    void reject(String machine, boolean rejects) {
        if (rejects) {
            rejected.add(machine);
        } else {
            rejected.remove(machine);
        }
    }

    /** Writes a record as the operators do. */
    synchronized void write(String topic, String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        store(partition(topic + "/0"), ByteBuffer.allocate(1 + name.length + value.length)
                .put((byte) name.length)
                .put(name)
                .put(value)
                .array());
        notifyAll();
    }

    /** Returns the member that holds a partition; empty if none does. */
    synchronized String holderOf(int number) {
        expireMembers();
        return holders[number] == null ? "" : holders[number];
    }

    private void handle(HttpExchange exchange, byte[] body) throws IOException {
        TrialServer.sleep(ANSWER_MILLIS);
        switch (exchange.getRequestURI().getPath()) {
            case "/log-append" -> append(exchange, body);
            case "/log-read" -> read(exchange);
            case "/log-newest" -> newest(exchange);
            case "/log-join" -> TrialServer.answer(exchange, 200, join(TrialServer.JSON.readTree(body)));
            case "/log-leave" -> {
                leave(TrialServer.JSON.readTree(body).path("member_id").asString());
                TrialServer.answer(exchange, 200, TrialServer.object());
            }
            default -> TrialServer.answer(exchange, 404, new byte[0]);
        }
    }

    private Partition partition(String name) {
        return partitions.computeIfAbsent(name, same -> new Partition());
    }

    private static String name(Map<String, String> query) {
        return query.get("topic") + "/" + query.get("part");
    }

    private void append(HttpExchange exchange, byte[] body) throws IOException {
        ObjectNode answer;
        synchronized (this) {
            answer = append(TrialServer.query(exchange), body);
            notifyAll();
        }
        TrialServer.answer(exchange, answer.has("reason") ? 409 : 200, answer);
    }

    private ObjectNode append(Map<String, String> query, byte[] body) {
        Partition partition = partition(name(query));
        if (!query.containsKey("producer")) {
            return appendAll(partition, body);
        }
        Producer producer = partition.producers.computeIfAbsent(query.get("producer"), same -> new Producer());
        long epoch = Long.parseLong(query.get("epoch"));
        long sequence = Long.parseLong(query.getOrDefault("sequence", "0"));
        if (epoch < producer.epoch) {
            return TrialServer.object().put("reason", "fenced");
        }
        if (epoch > producer.epoch) {
            producer.epoch = epoch;
            producer.started = false;
            producer.answers.clear();
        }
        if (body.length == 0) {
            return appendAll(partition, body);
        }
        if (producer.answers.containsKey(sequence)) {
            return producer.answers.get(sequence);
        }
        if (producer.started && sequence != producer.lastSequence + 1) {
            return TrialServer.object().put("reason", "seq").put("expected", producer.lastSequence + 1);
        }
        ObjectNode answer = appendAll(partition, body);
        producer.started = true;
        producer.lastSequence = sequence;
        producer.answers.put(sequence, answer);
        producer.answers.keySet().removeIf(old -> old <= sequence - REMEMBERED_ANSWERS);
        return answer;
    }

    private static ObjectNode appendAll(Partition partition, byte[] body) {
        long first = partition.records.size();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.hasRemaining()) {
            byte[] record = new byte[bytes.getInt()];
            bytes.get(record);
            store(partition, record);
        }
        return TrialServer.object().put("offset", first).put("end_offset", partition.records.size());
    }

    private static void store(Partition partition, byte[] record) {
        partition.records.add(record);
        int keyLength = Byte.toUnsignedInt(record[0]);
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
        if (value.length == 0) {
            partition.newest.remove(key);
        } else {
            partition.newest.put(key, value);
        }
    }

    private void read(HttpExchange exchange) throws IOException {
        Map<String, String> query = TrialServer.query(exchange);
        int from = Integer.parseInt(query.get("from"));
        long untilNanos = System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("wait_ms", "0"));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            Partition partition = partition(name(query));
            long left = untilNanos - System.nanoTime();
            while (partition.records.size() <= from && left > 0) {
                awaitChange(left / 1_000_000 + 1);
                left = untilNanos - System.nanoTime();
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(partition.records.size());
            out.writeLong(0);
            for (byte[] record : partition.records.subList(Math.min(from, partition.records.size()), partition.records.size())) {
                out.writeInt(record.length);
                out.write(record);
            }
        }
        TrialServer.answer(exchange, 200, bytes.toByteArray());
    }

    private void awaitChange(long millis) throws IOException {
        try {
            wait(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    private void newest(HttpExchange exchange) throws IOException {
        Map<String, String> query = TrialServer.query(exchange);
        ObjectNode answer = TrialServer.object();
        ArrayNode items = answer.putArray("items");
        synchronized (this) {
            Partition partition = partition(name(query));
            NavigableMap<String, byte[]> left = partition.newest.tailMap(query.getOrDefault("after", ""), false);
            int listed = 0;
            for (Map.Entry<String, byte[]> entry : left.entrySet()) {
                if (listed == PAGE_ITEMS) {
                    break;
                }
                listed++;
                items.addObject()
                        .put("key", entry.getKey())
                        .put("value", Base64.getEncoder().encodeToString(entry.getValue()))
                        .put("offset", 0);
            }
            answer.put("has_more", listed < left.size()).put("end_offset", partition.records.size());
        }
        TrialServer.answer(exchange, 200, answer);
    }

    /**
     * Joins a member. A partition goes to another member once its holder has called with the generation that takes it
     * away, has left, or has lapsed.
     */
    private synchronized ObjectNode join(JsonNode request) {
        String name = request.path("member_id").asString();
        jobTopic = request.path("topics").path(0).asString();
        expireMembers();
        boolean isNew = !members.containsKey(name);
        Member member = members.computeIfAbsent(name, same -> new Member());
        member.joinedNanos = System.nanoTime();
        member.timeToLiveNanos = request.path("ttl_ms").asLong() * 1_000_000;
        if (isNew) {
            distribute();
        }
        if (request.path("generation").asLong(0) >= generation) {
            release(name);
        }
        assignFree();
        ObjectNode answer = TrialServer.object().put("generation", generation);
        ArrayNode rows = answer.putArray("parts");
        for (int number = 0; number < partitionCount; number++) {
            if (name.equals(holders[number]) && name.equals(designated[number])) {
                rows.addArray().add(jobTopic).add(number).add(0);
            }
        }
        return answer;
    }

    private synchronized void leave(String name) {
        if (members.remove(name) != null) {
            distribute();
            assignFree();
        }
    }

    private void expireMembers() {
        long now = System.nanoTime();
        if (members.values().removeIf(member -> now - member.joinedNanos > member.timeToLiveNanos)) {
            distribute();
            assignFree();
        }
    }

    /** Shares the partitions out evenly; members keep what they have as far as that allows. */
    private void distribute() {
        generation++;
        Map<String, Integer> counts = new HashMap<>();
        members.keySet().forEach(name -> counts.put(name, 0));
        int limit = members.isEmpty() ? 0 : (partitionCount + members.size() - 1) / members.size();
        for (int number = 0; number < partitionCount; number++) {
            Integer count = counts.get(designated[number]);
            if (count != null && count < limit) {
                counts.put(designated[number], count + 1);
            } else {
                designated[number] = null;
            }
        }
        for (int number = 0; number < partitionCount; number++) {
            if (designated[number] == null && !counts.isEmpty()) {
                String least = counts.entrySet().stream()
                        .min(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                        .orElseThrow()
                        .getKey();
                designated[number] = least;
                counts.merge(least, 1, Integer::sum);
            }
        }
    }

    private void release(String name) {
        for (int number = 0; number < partitionCount; number++) {
            if (name.equals(holders[number]) && !name.equals(designated[number])) {
                holders[number] = null;
            }
        }
    }

    private void assignFree() {
        for (int number = 0; number < partitionCount; number++) {
            if (holders[number] == null || !members.containsKey(holders[number])) {
                holders[number] = designated[number];
            }
        }
    }

    @Override
    public void close() {
        servers.forEach(TrialServer::close);
    }
}
