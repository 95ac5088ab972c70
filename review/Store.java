import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for the platform's metadata store: keyed topics, appends with producers and epochs, reads, newest values and
 * groups. It answers within 4 ms, as the pages state for the small sites. While it is down, it answers 503 and does
 * nothing, and the times of its groups pause. It may also turn single processes away, while it serves the others.
 */
final class Store implements AutoCloseable {
    static final int PARTITIONS = 16;
    private static final long ANSWER_MILLIS = 4;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    private static final int REMEMBERED = 5;

    private final Map<String, Part> parts = new HashMap<>();
    private final Map<String, Member> members = new TreeMap<>();
    private final String[] holder = new String[PARTITIONS];
    private final String[] target = new String[PARTITIONS];
    private final List<Server> servers = new ArrayList<>();
    private final Set<String> turnedAway = ConcurrentHashMap.newKeySet();
    private long generation = 1;
    private volatile boolean down;
    private volatile long downMillis;
    private volatile long downSince;

    private static final class Part {
        private final List<byte[]> records = new ArrayList<>();
        private final TreeMap<String, byte[]> newest = new TreeMap<>();
        private final TreeMap<String, Long> offsets = new TreeMap<>();
        private final Map<String, Producer> producers = new HashMap<>();
        private final Object appendLock = new Object();
    }

    private static final class Producer {
        private long epoch = -1;
        private long last = -1;
        private boolean fresh = true;
        private final TreeMap<Long, Map<String, Object>> answers = new TreeMap<>();
    }

    private static final class Member {
        private long seen;
        private long ttl;
    }

    /** Returns the address at which a process of the system reaches the store, by which the store knows the process. */
    String address(String process) throws IOException {
        Server server = new Server(request -> handle(process, request));
        servers.add(server);
        return server.address();
    }

    /** Turns the calls of a process away with 503, or serves them again. */
    void turnAway(String process, boolean value) {
        if (value) {
            turnedAway.add(process);
        } else {
            turnedAway.remove(process);
        }
    }

    /** Begins or ends an outage. */
    synchronized void setDown(boolean value) {
        if (value && !down) {
            downSince = Record.now();
        } else if (!value && down) {
            downMillis += Record.now() - downSince;
        }
        down = value;
    }

    /** Writes a record as the operator does. */
    synchronized void operate(String key, Object value) {
        Part part = part("keyed.op/0");
        apply(part, encode(key, Json.write(value).getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    /** Clock of the group's times; it stands still while the store is down. */
    private long groupClock() {
        return Record.now() - downMillis - (down ? Record.now() - downSince : 0);
    }

    private void handle(String process, Server.Request request) throws Exception {
        if (down || turnedAway.contains(process)) {
            Thread.sleep(ANSWER_MILLIS);
            request.reply(503, new byte[0]);
            return;
        }
        switch (request.path()) {
            case "/log-append" -> append(request);
            case "/log-read" -> read(request);
            case "/log-newest" -> newest(request);
            case "/log-join" -> {
                Map<String, Object> answer = join(request.json());
                Thread.sleep(ANSWER_MILLIS);
                request.reply(200, answer);
            }
            case "/log-leave" -> {
                leave(Json.text(request.json(), "member_id"));
                Thread.sleep(ANSWER_MILLIS);
                request.reply(200, Map.of());
            }
            default -> request.reply(404, new byte[0]);
        }
    }

    private synchronized Part part(String name) {
        return parts.computeIfAbsent(name, key -> new Part());
    }

    private static String name(Map<String, String> query) {
        return query.get("topic") + '/' + query.get("part");
    }

    private void append(Server.Request request) throws Exception {
        Map<String, String> query = request.query();
        Part part = part(name(query));
        Map<String, Object> answer;
        // A partition processes its appends one at a time, 3 ms each.
        synchronized (part.appendLock) {
            Thread.sleep(3);
            synchronized (this) {
                answer = append(part, query, request.body());
                notifyAll();
            }
        }
        Thread.sleep(1);
        request.reply(answer.containsKey("reason") ? 409 : 200, answer);
    }

    private Map<String, Object> append(Part part, Map<String, String> query, byte[] body) {
        if (query.get("producer") == null) {
            return applyAll(part, body);
        }
        Producer producer = part.producers.computeIfAbsent(query.get("producer"), key -> new Producer());
        long epoch = Long.parseLong(query.get("epoch"));
        long sequence = Long.parseLong(query.getOrDefault("sequence", "0"));
        if (epoch < producer.epoch) {
            return Map.of("reason", "fenced");
        }
        if (epoch > producer.epoch) {
            producer.epoch = epoch;
            producer.fresh = true;
            producer.answers.clear();
        }
        if (body.length == 0) {
            return Map.of("offset", part.records.size(), "end_offset", part.records.size());
        }
        if (producer.answers.containsKey(sequence)) {
            return producer.answers.get(sequence);
        }
        if (!producer.fresh && sequence != producer.last + 1) {
            return Map.of("reason", "seq", "expected", producer.last + 1);
        }
        Map<String, Object> answer = applyAll(part, body);
        producer.fresh = false;
        producer.last = sequence;
        producer.answers.put(sequence, answer);
        producer.answers.headMap(sequence - REMEMBERED, true).clear();
        return answer;
    }

    private static Map<String, Object> applyAll(Part part, byte[] body) {
        long offset = part.records.size();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.hasRemaining()) {
            byte[] content = new byte[bytes.getInt()];
            bytes.get(content);
            apply(part, content);
        }
        return Map.of("offset", offset, "end_offset", part.records.size());
    }

    private static void apply(Part part, byte[] content) {
        int length = Byte.toUnsignedInt(content[0]);
        String key = new String(content, 1, length, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(content, 1 + length, content.length);
        if (value.length == 0) {
            part.newest.remove(key);
            part.offsets.remove(key);
        } else {
            part.newest.put(key, value);
            part.offsets.put(key, (long) part.records.size());
        }
        part.records.add(content);
    }

    private static byte[] encode(String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + name.length + value.length)
                .put((byte) name.length)
                .put(name)
                .put(value)
                .array();
    }

    private void read(Server.Request request) throws Exception {
        Map<String, String> query = request.query();
        long from = Long.parseLong(query.get("from"));
        long limit = Long.parseLong(query.getOrDefault("max_kb", "1024")) * 1024;
        long until = Record.now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Part part = part(name(query));
        Thread.sleep(ANSWER_MILLIS);
        synchronized (this) {
            while (part.records.size() <= from && Record.now() < until && !down) {
                wait(Math.max(1, until - Record.now()));
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(part.records.size());
            out.writeLong(0);
            for (int offset = (int) from; offset < part.records.size() && bytes.size() < limit; offset++) {
                out.writeInt(part.records.get(offset).length);
                out.write(part.records.get(offset));
            }
        }
        request.reply(200, bytes.toByteArray());
    }

    private void newest(Server.Request request) throws Exception {
        Map<String, String> query = request.query();
        Part part = part(name(query));
        List<Object> items = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        long end;
        synchronized (this) {
            for (Map.Entry<String, byte[]> entry :
                    part.newest.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
                if (items.size() >= PAGE_ITEMS || bytes >= PAGE_BYTES) {
                    more = true;
                    break;
                }
                bytes += entry.getValue().length;
                items.add(Map.of(
                        "key", entry.getKey(),
                        "value", Base64.getEncoder().encodeToString(entry.getValue()),
                        "offset", part.offsets.get(entry.getKey())));
            }
            end = part.records.size();
        }
        Thread.sleep(ANSWER_MILLIS);
        request.reply(200, Map.of("items", items, "has_more", more, "end_offset", end));
    }

    // ---- the group ----

    private synchronized Map<String, Object> join(Map<String, Object> request) {
        String name = Json.text(request, "member_id");
        expireMembers();
        boolean fresh = !members.containsKey(name);
        Member member = members.computeIfAbsent(name, key -> new Member());
        member.seen = groupClock();
        member.ttl = Json.integer(request, "ttl_ms", 1000);
        if (fresh) {
            assign();
        }
        if (Json.integer(request, "generation", 0) >= generation) {
            release(name);
        }
        List<Object> rows = new ArrayList<>();
        for (int part = 0; part < PARTITIONS; part++) {
            if (name.equals(holder[part]) && name.equals(target[part])) {
                rows.add(List.of("keyed.jobs", part, 0));
            }
        }
        return Map.of("generation", generation, "parts", rows);
    }

    private synchronized void leave(String name) {
        if (members.remove(name) != null) {
            assign();
        }
    }

    private void expireMembers() {
        long clock = groupClock();
        if (members.values().removeIf(member -> clock - member.seen > member.ttl)) {
            assign();
        }
    }

    /** Distributes the partitions evenly, moving as few as possible; partitions of members that are gone move at once. */
    private void assign() {
        generation++;
        Map<String, Integer> counts = new TreeMap<>();
        members.keySet().forEach(name -> counts.put(name, 0));
        int quota = members.isEmpty() ? 0 : (PARTITIONS + members.size() - 1) / members.size();
        for (int part = 0; part < PARTITIONS; part++) {
            Integer count = target[part] == null ? null : counts.get(target[part]);
            if (count == null || count >= quota) {
                target[part] = null;
            } else {
                counts.put(target[part], count + 1);
            }
        }
        for (int part = 0; part < PARTITIONS && !members.isEmpty(); part++) {
            if (target[part] == null) {
                target[part] = counts.entrySet().stream()
                        .min(Map.Entry.comparingByValue())
                        .orElseThrow()
                        .getKey();
                counts.merge(target[part], 1, Integer::sum);
            }
            if (holder[part] == null || !members.containsKey(holder[part])) {
                holder[part] = target[part];
            }
        }
    }

    /** A member that joins with the newest generation has given up what is no longer listed. */
    private void release(String name) {
        boolean moved = false;
        for (int part = 0; part < PARTITIONS; part++) {
            if (name.equals(holder[part]) && !name.equals(target[part])) {
                holder[part] = target[part];
                moved = true;
            }
        }
        generation += moved ? 1 : 0;
    }

    /** Number of partitions listed for the members whose ids begin with a process name. */
    synchronized int heldBy(String process) {
        int count = 0;
        for (int part = 0; part < PARTITIONS; part++) {
            count += holder[part] != null && holder[part].startsWith(process + "-") ? 1 : 0;
        }
        return count;
    }

    @Override
    public void close() {
        servers.forEach(Server::close);
    }
}
