package org.gentianwalk.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.gentianwalk.core.config.EffectiveRule.Setting;
import org.gentianwalk.core.config.ServingRules.WorkRule;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.tree.Source;
import org.gentianwalk.core.model.Rank;
import org.jspecify.annotations.Nullable;

/**
 * Resolves the value of each setting for a team and a kind of work. The most specific value
 * applies, in this order: the team's exception for the kind, the team, the branch's exception for
 * the kind, the branch, the kind.
 */
final class RuleResolver {
    /** Maximum length of the output when no rule sets one, tokens. */
    static final int DEFAULT_MAX_TOKENS = 4096;

    private static final double DEFAULT_WEIGHT = 1;

    private final SectionView mRoot;

    /** Creates a resolver for settings that passed the checks. */
    RuleResolver(SectionView root) {
        mRoot = root;
    }

    /** Returns the settings of a team. */
    SectionView team(String team) {
        SectionView view = mRoot.sectionByName("teams", team);
        if (view == null) {
            throw new IllegalArgumentException("unknown team " + team);
        }
        return view;
    }

    /** Returns the rule for the serving path. The team must be allowed to use the kind. */
    WorkRule rule(String team, String kind) {
        List<SectionView> layers = layers(team, kind);
        Double weight = firstWith(layers, "weight").map(view -> view.number("weight")).orElse(null);
        Double maxTokens =
                firstWith(layers, "max-tokens").map(view -> view.number("max-tokens")).orElse(null);
        Duration deadline =
                firstWith(layers, "deadline").map(view -> view.duration("deadline")).orElse(null);
        Double cap =
                firstWith(layers, "tokens-per-second")
                        .map(view -> view.number("tokens-per-second"))
                        .orElse(null);
        Set<String> models =
                firstWith(layers, "models")
                        .map(
                                view ->
                                        view.texts("models").stream()
                                                .map(SectionView.Text::text)
                                                .collect(Collectors.toSet()))
                        .orElse(Set.of());
        return new WorkRule(
                kind,
                rank(team, kind),
                weight == null ? DEFAULT_WEIGHT : weight,
                models,
                maxTokens == null ? DEFAULT_MAX_TOKENS : (int) Math.round(maxTokens),
                deadline,
                cap);
    }

    /** Returns the rule with its sources, or empty when the team may not use the kind. */
    Optional<EffectiveRule> effectiveRule(String team, @Nullable String kindOrNull) {
        SectionView view = mRoot.sectionByName("teams", team);
        if (view == null) {
            return Optional.empty();
        }
        String kind = kindOrNull == null ? view.requiredText("default-kind") : kindOrNull;
        boolean allowed = view.texts("kinds").stream().anyMatch(each -> each.text().equals(kind));
        if (!allowed) {
            return Optional.empty();
        }
        List<SectionView> layers = layers(team, kind);
        Map<String, Setting> settings = new LinkedHashMap<>();
        settings.put("rank", rankSetting(team, kind));
        settings.put("weight", setting(layers, "weight", "1"));
        settings.put("max-tokens", setting(layers, "max-tokens", DEFAULT_MAX_TOKENS + "tokens"));
        settings.put("deadline", setting(layers, "deadline", "none"));
        settings.put("tokens-per-second", setting(layers, "tokens-per-second", "none"));
        settings.put("models", modelsSetting(layers));
        String branch = view.requiredText("branch");
        return Optional.of(new EffectiveRule(team, branch, rule(team, kind), settings));
    }

    private List<SectionView> layers(String team, String kind) {
        List<SectionView> layers = new ArrayList<>();
        SectionView teamView = team(team);
        addIfPresent(layers, teamView.sectionByName("exceptions", kind));
        layers.add(teamView);
        @Nullable SectionView branch =
                mRoot.sectionByName("branches", teamView.requiredText("branch"));
        if (branch != null) {
            addIfPresent(layers, branch.sectionByName("exceptions", kind));
            layers.add(branch);
        }
        layers.add(kind(kind));
        return layers;
    }

    private SectionView kind(String kind) {
        SectionView view = mRoot.sectionByName("kinds", kind);
        if (view == null) {
            throw new IllegalArgumentException("unknown kind of work " + kind);
        }
        return view;
    }

    private Rank rank(String team, String kind) {
        Rank kindRank = parseRank(kind(kind).requiredText("rank"));
        Rank maxRank = parseRank(team(team).requiredText("max-rank"));
        return maxRank == Rank.STANDARD ? Rank.STANDARD : kindRank;
    }

    private Setting rankSetting(String team, String kind) {
        SectionView kindView = kind(kind);
        Rank rank = rank(team, kind);
        boolean lowered = rank != parseRank(kindView.requiredText("rank"));
        Source source = lowered ? team(team).sourceOf("max-rank") : kindView.sourceOf("rank");
        return new Setting(rank.name().toLowerCase(Locale.ROOT), source);
    }

    private static Rank parseRank(String text) {
        return Rank.valueOf(text.toUpperCase(Locale.ROOT));
    }

    private static Optional<SectionView> firstWith(List<SectionView> layers, String key) {
        return layers.stream().filter(layer -> layer.has(key)).findFirst();
    }

    private static Setting setting(List<SectionView> layers, String key, String defaultText) {
        for (SectionView layer : layers) {
            String text = layer.text(key);
            if (text != null) {
                return new Setting(text, layer.sourceOf(key));
            }
        }
        return new Setting(defaultText, Source.DEFAULT);
    }

    private static Setting modelsSetting(List<SectionView> layers) {
        Optional<SectionView> layer = firstWith(layers, "models");
        if (layer.isEmpty()) {
            return new Setting("all", Source.DEFAULT);
        }
        String names =
                layer.get().texts("models").stream()
                        .map(SectionView.Text::text)
                        .collect(Collectors.joining(", "));
        return new Setting(names, layer.get().sourceOf("models"));
    }

    private static void addIfPresent(List<SectionView> layers, @Nullable SectionView view) {
        if (view != null) {
            layers.add(view);
        }
    }
}
