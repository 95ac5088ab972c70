package org.chivetally.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A set of agents with constant-time adding, removal and access by position; the order depends only on its history. */
final class IndexedSet {
    private final List<AgentView> members = new ArrayList<>();
    private final Map<AgentView, Integer> positions = new HashMap<>();

    int size() {
        return members.size();
    }

    List<AgentView> view() {
        return Collections.unmodifiableList(members);
    }

    AgentView get(int position) {
        return members.get(position);
    }

    void add(AgentView agent) {
        if (positions.putIfAbsent(agent, members.size()) == null) {
            members.add(agent);
        }
    }

    void remove(AgentView agent) {
        Integer position = positions.remove(agent);
        if (position == null) {
            return;
        }
        AgentView last = members.removeLast();
        if (last != agent) {
            members.set(position, last);
            positions.put(last, position);
        }
    }

    void set(AgentView agent, boolean member) {
        if (member) {
            add(agent);
        } else {
            remove(agent);
        }
    }
}
