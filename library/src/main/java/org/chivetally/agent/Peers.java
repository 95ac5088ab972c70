package org.chivetally.agent;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Open connections, oldest first, and the process at the far end of each. */
final class Peers {
    private static final ProcessKey UNIDENTIFIED = new ProcessKey("", "");

    private final Map<PeerId, ProcessKey> open = new LinkedHashMap<>();

    void connected(PeerId peer) {
        open.put(peer, UNIDENTIFIED);
    }

    void identified(PeerId peer, ProcessKey process) {
        open.replace(peer, process);
    }

    void disconnected(PeerId peer) {
        open.remove(peer);
    }

    List<PeerId> all() {
        return List.copyOf(open.keySet());
    }

    ProcessKey process(PeerId peer) {
        return open.getOrDefault(peer, UNIDENTIFIED);
    }

    /** Returns the preferred connection if it is open, otherwise the newest one of the process, or null. */
    PeerId route(PeerId preferred, ProcessKey process) {
        if (open.containsKey(preferred)) {
            return preferred;
        }
        PeerId newest = null;
        for (Map.Entry<PeerId, ProcessKey> entry : open.entrySet()) {
            if (entry.getValue().equals(process) && !process.equals(UNIDENTIFIED)) {
                newest = entry.getKey();
            }
        }
        return newest;
    }

    /** Identifies one incarnation of a process. */
    record ProcessKey(String processId, String incarnation) {}
}
